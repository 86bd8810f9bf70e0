/** Errors of the control state. */

import { AnvilmuxError } from "@anvilmux/common";

/** The data folder cannot be used as it is. */
export class StorageError extends AnvilmuxError {}

/** The control group did not take a command. */
export class ControlError extends AnvilmuxError {}
