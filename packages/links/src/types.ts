/** Messages on held connections and what a connection needs from outside. */

import type { Clock, Timers } from "@anvilmux/common";
import type { Logger } from "@anvilmux/telemetry";

/** One message is one line of JSON; `type` tells which message it is. */
export interface LinkMessage {
    readonly type: string;
}

export interface LinkEnvironment {
    readonly clock: Clock;
    readonly timers: Timers;
    readonly logger: Logger;
}
