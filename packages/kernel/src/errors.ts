/** Errors of the kernel. */

import { AnvilmuxError } from "@anvilmux/common";

export class KernelError extends AnvilmuxError {}
