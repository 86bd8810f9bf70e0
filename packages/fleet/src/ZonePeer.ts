/** Another entry of the zone: what is known of it, and the connection to it. */

import type { Milliseconds } from "@anvilmux/common";
import type { Candidate } from "@anvilmux/dispatch";
import type { Link } from "@anvilmux/links";
import type { EntryMember, PeerMessage } from "./messages";

/** An open connection to another entry or to the owner of another zone, opened by either side. */
export interface PeerConnection {
    readonly number: number;
    readonly send: (message: PeerMessage) => void;
    readonly close: (reason: string) => void;
    /** Calls the listener once what has been received so far is certainly not outdated. */
    readonly whenPeerPresent: (listener: () => void) => void;
    /** Identifies the connection to the scheduler, from its first message to its end. */
    readonly submitterKey: string;
    /** The peer's latest state, and when its fitness last changed; undefined until it is reported. */
    state: Candidate | undefined;
    fitnessSince: Milliseconds;
}

export interface ZonePeer {
    readonly id: string;
    member: EntryMember;
    /** Opened by this entry; the other entry opens the connection where it comes later in the order of ids. */
    link: Link<PeerMessage, PeerMessage> | undefined;
    /** The newest connection on which the peer has reported its state. */
    connection: PeerConnection | undefined;
    /** The last attempt to connect failed, or the connection was closed. */
    isUnreachable: boolean;
    /** When it was last listed by control, or connected. */
    knownAt: Milliseconds;
    /** When this entry began to need a connection to the peer; undefined while it needs none. */
    neededSince: Milliseconds | undefined;
    /** When this entry last needed the connection. */
    neededUntil: Milliseconds;
}

export const newZonePeer = (member: EntryMember, now: Milliseconds): ZonePeer => ({
    id: member.id,
    member,
    link: undefined,
    connection: undefined,
    isUnreachable: false,
    knownAt: now,
    neededSince: undefined,
    neededUntil: now,
});
