/** Base type of the messages on persistent connections, and the dependencies of connections. */

import type { Clock, Timers } from "@anvilmux/common";
import type { Logger } from "@anvilmux/telemetry";

/** A message is one line of JSON; `type` identifies the kind of message. */
export interface LinkMessage {
    readonly type: string;
}

export interface LinkEnvironment {
    readonly clock: Clock;
    readonly timers: Timers;
    readonly logger: Logger;
}
