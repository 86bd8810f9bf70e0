/** Which entries of the zone are forgotten: those that have been gone for long, and the oldest when too many are known. */

import type { Milliseconds } from "@anvilmux/common";
import type { ZonePeer } from "./ZonePeer";

/** Entries of the zone that are known at a time; several times those of the largest zone. */
export const maximumPeers = 512;
/** Time after which the next member list removes a peer that is neither listed nor connected. */
const peerRetentionMs: Milliseconds = 60_000;

/** The peers that are neither listed nor connected for too long. */
export const findAbsentPeers = (peers: Iterable<ZonePeer>, now: Milliseconds): readonly ZonePeer[] =>
    [...peers].filter(({ connection, knownAt }) => !connection && now - knownAt > peerRetentionMs);

/** The peer to be forgotten for a new one; undefined when all are connected. */
export const findDispensablePeer = (peers: Iterable<ZonePeer>): ZonePeer | undefined => {
    const [oldest] = [...peers].filter(({ connection }) => !connection)
        .sort((left, right) => left.knownAt - right.knownAt);
    return oldest;
};
