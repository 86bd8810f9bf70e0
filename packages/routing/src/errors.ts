/** Errors of the request path and the refusals callers see. */

import { AnvilmuxError } from "@anvilmux/common";

export class RoutingError extends AnvilmuxError {}
