/** Periods and limits of the membership protocol. */

/** Time between two gossip rounds of an instance. */
export const gossipPeriodMs = 1_000;
/** Delays after the start of additional rounds, so that a new instance learns of the others soon. */
export const joiningRoundDelaysMs: readonly number[] = [100, 250, 500, 750];
/** An instance of another zone is contacted once in this many rounds. */
export const otherZoneRoundInterval = 1;
/** Instances of the own zone contacted in each round, in turn. */
export const zoneTargetsPerRound = 2;
/** A seed is contacted once in this many rounds, so that parts of the deployment merge again after a partition. */
export const seedRoundInterval = 8;
/** Heartbeat age from which a member is suspect and is assigned no new work. */
export const suspectAfterMs = 3_500;
/** Heartbeat age from which a member is dead: it is sent no gossip and is not counted as an entry. */
export const deadAfterMs = 8_000;
/** Factor by which both ages above are longer for members of other zones, whose heartbeats arrive less often. */
export const otherZoneTimeoutFactor = 4;
/** Heartbeat age after which a member and its records are removed. */
export const memberRetentionMs = 600_000;
/** Maximum digests in one message, so that its size does not grow with the deployment. */
export const maximumDigestsPerMessage = 14;
export const gossipTimeoutMs = 1_000;
/** Time for which the leave of an upstream or worker is kept, so that a late update cannot add it again. */
export const tombstoneRetentionMs = 600_000;
/** Time for which the list of members is cached before liveness is computed again. */
export const memberListCacheMs = 50;
