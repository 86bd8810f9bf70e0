/** Determines to which other entries of its zone an entry has to be connected. */

import type { Milliseconds } from "@anvilmux/common";
import { sortByCapacity } from "@anvilmux/dispatch";
import type { Fitness } from "@anvilmux/dispatch";
import { connectTimeoutMs } from "@anvilmux/links";
import type { ZonePeer } from "./ZonePeer";
import { getLeadingEntries } from "./zoneStructure";
import type { StructuredEntry } from "./zoneStructure";

export interface NeededPeersInput {
    readonly selfId: string;
    readonly ownShare: number | undefined;
    readonly ownFitness: Fitness;
    /** The owner of the zone's workers, as known to this entry. */
    readonly ownerId: string | undefined;
    /** The owner that control reports. */
    readonly reportedOwnerId: string | undefined;
    readonly peers: Iterable<ZonePeer>;
    readonly now: Milliseconds;
}

export interface NeededPeers {
    /** The owner and the leading entries, which detect each other's failures soon. */
    readonly central: ReadonlySet<string>;
    readonly needed: ReadonlySet<string>;
    /** Entries that come before this one in the order of ownership. */
    readonly preceding: ReadonlySet<string>;
}

/** Time for which an entry without a configuration counts as about to get one. */
const unfitGraceMs = 2_000;

export const determineNeededPeers = (input: NeededPeersInput): NeededPeers => {
    const { selfId, ownShare, ownFitness, ownerId, reportedOwnerId, now } = input;
    const peers = [...input.peers];
    const self = { id: selfId, processorShare: ownShare };
    const order = sortByCapacity([self, ...peers.map(({ id, member: { processorShare } }) => ({ id, processorShare }))])
        .map(({ id }) => id);
    const preceding = new Set(order.slice(0, order.indexOf(selfId)));
    const structured = new Map(
        peers.map(peer => [peer.id, toStructured(peer, now, preceding.has(peer.id) && peer.id > selfId)]),
    );
    structured.set(selfId, { id: selfId, isUnreachable: false, isIneligible: ownFitness === "leaving" });
    const central = new Set(getLeadingEntries(order.map(id => structured.get(id)!)).map(({ id }) => id));
    const isLeading = central.has(selfId);
    if (ownerId !== undefined) {
        central.add(ownerId);
    }
    const needed = new Set(central);
    if (reportedOwnerId !== undefined) {
        needed.add(reportedOwnerId);
    }
    // The entry with the larger id opens a connection, so a leading one opens those to entries with smaller ids.
    peers.filter(peer => ownerId === selfId || (isLeading && peer.id < selfId)).forEach(peer => needed.add(peer.id));
    return { central, needed, preceding };
};

/** `connectsItself`: the peer is to open the connection, so that no failed attempt tells that it cannot be reached. */
const toStructured = (peer: ZonePeer, now: Milliseconds, connectsItself: boolean): StructuredEntry => {
    const { id, connection, isUnreachable, neededSince } = peer;
    const isOverdue = connectsItself && neededSince !== undefined && now - neededSince >= connectTimeoutMs;
    const fitness = connection?.state?.fitness;
    const isUnfit = fitness === "unfit" && now - (connection?.fitnessSince ?? 0) > unfitGraceMs;
    return {
        id,
        isUnreachable: (isUnreachable || isOverdue) && connection === undefined,
        isIneligible: fitness === "leaving" || isUnfit,
    };
};
