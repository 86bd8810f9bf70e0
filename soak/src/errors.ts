/** Errors of the soak's command. */

import { AnvilmuxError } from "@anvilmux/common";

/** An option with a value that cannot be used. */
export class SoakError extends AnvilmuxError {}
