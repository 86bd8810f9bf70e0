/** Errors of the control group and its storage. */

import { AnvilmuxError } from "@anvilmux/common";

/** The data folder is damaged, incomplete or not writable. */
export class StorageError extends AnvilmuxError {}

/** An operation of the control group was rejected, failed or has an unknown outcome. */
export class ControlError extends AnvilmuxError {}
