/** Base type of the messages on persistent connections, and the dependencies of connections. */

import type { Address, Clock, Timers } from "@anvilmux/common";
import type { Logger } from "@anvilmux/telemetry";
import type { Socket } from "node:net";
import type { EncodedMessage } from "./encodeMessage";

/** A message is one line of JSON; `type` identifies the kind of message. */
export interface LinkMessage {
    readonly type: string;
}

/** The sending side of one open connection; unusable once it is closed. */
export interface LinkConnection<Outgoing extends LinkMessage> {
    readonly send: (message: Outgoing) => void;
    readonly sendEncoded: (message: EncodedMessage<Outgoing>) => void;
    readonly close: (reason: string) => void;
    /** Calls the listener once what has been received so far is certainly not outdated; see `Channel`. */
    readonly whenPeerPresent: (listener: () => void) => void;
}

/** Begins to connect to an address; the socket emits `connect` or `error`. */
export type OpenSocket = (address: Address) => Socket;

export interface LinkEnvironment {
    readonly clock: Clock;
    readonly timers: Timers;
    readonly logger: Logger;
}
