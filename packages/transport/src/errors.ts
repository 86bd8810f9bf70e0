/** Errors of the transport between instances. */

import { AnvilmuxError } from "@anvilmux/common";

export class TransportError extends AnvilmuxError {}
