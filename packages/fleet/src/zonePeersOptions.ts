/** What the connections between the entries of a zone depend on, and to whom they report. */

import type { Fitness, FreeCapacity, WorkerAnnouncement } from "@anvilmux/dispatch";
import type { ConnectionGuard } from "@anvilmux/intake";
import type { ChannelChecker, LinkEnvironment, OpenSocket } from "@anvilmux/links";
import type { EntryMember, PeerMessage } from "./messages";
import type { PeerConnection } from "./ZonePeer";

export interface ZonePeersOptions {
    readonly self: EntryMember;
    readonly host: string;
    readonly port: number;
    readonly checker: ChannelChecker;
    readonly environment: LinkEnvironment;
    /** Bounds the connections that others open; unlimited when absent. */
    readonly guard?: ConnectionGuard | undefined;
    /** Opens TCP connections when absent. */
    readonly openSocket?: OpenSocket;
    readonly getState: () => { readonly claim: number; readonly fitness: Fitness; };
    /** The owner of the zone's workers, as known to this entry. */
    readonly getOwnerId: () => string | undefined;
    /** True while jobs of this entry are at the peer, or jobs that came over the connection are here. */
    readonly hasOpenJobs: (peerId: string | undefined, submitterKey: string) => boolean;
    /** Called when an entry connected, disconnected or reported its state. */
    readonly onChange: () => void;
    /** The free capacity of this zone that owners of other zones may use. */
    readonly getFreeCapacity: () => FreeCapacity;
    readonly getWorkers: () => readonly WorkerAnnouncement[];
    readonly onWorkers: (workers: readonly WorkerAnnouncement[]) => void;
    /** Called for any other message; `peerId` is undefined for the owner of another zone. */
    readonly onMessage: (message: PeerMessage, connection: PeerConnection, peerId: string | undefined) => void;
    readonly onPeerConnected: (peerId: string) => void;
    /**
     * Called when the connection to a peer was lost; messages sent on it may not have arrived. `isNoticedByPeer`: the
     * peer ended it, or its process did not go on.
     */
    readonly onPeerDisconnected: (peerId: string, isNoticedByPeer: boolean) => void;
    readonly onSubmitterDisconnected: (submitterKey: string) => void;
}
