/** Errors of the job path. */

import { AnvilmuxError } from "@anvilmux/common";

export class JobError extends AnvilmuxError {}
