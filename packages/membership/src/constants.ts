/** Periods and bounds of the membership protocol. */

/** Time between two gossip rounds of an instance. */
export const gossipPeriodMs = 1_000;
/** Times after the start of further rounds, so that a new instance knows the others soon. */
export const joiningRoundsMs: readonly number[] = [100, 250, 500, 750];
/** Every so many rounds one instance of another zone is chosen. */
export const roundsBetweenZones = 1;
/** Instances of the own zone that one round reaches, in turn. */
export const zoneTargetsPerRound = 2;
/** Every so many rounds a seed is asked as well, so that parts of the deployment that lost each other meet again. */
export const roundsBetweenSeeds = 8;
/** Silence after which a member is suspected and gets no new work. */
export const suspectAfterMs = 3_500;
/** Silence after which a member counts as dead and its tasks move on. */
export const deadAfterMs = 8_000;
/** Members of other zones are heard of less often; their silences are judged this many times more patiently. */
export const otherZonePatience = 4;
/** Silence after which a member's records are dropped. */
export const forgetAfterMs = 600_000;
/** Digests in one message, so that its size does not grow with the deployment. */
export const maximumDigestsPerMessage = 14;
export const gossipTimeoutMs = 1_000;
/** Time a left upstream or worker is remembered, so that late news cannot bring it back. */
export const tombstoneRetentionMs = 600_000;
/** Time for which a list of members is used again before liveness is looked at anew. */
export const memberListLifetimeMs = 50;
