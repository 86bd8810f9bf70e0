/** Periods and limits of the control group. */

export const heartbeatPeriodMs = 250;
/** Time without contact to a leader after which a follower starts an election, drawn from [1, 2) times this. */
export const electionTimeoutMs = 700;
/** Delay before each early election of a replica that started and knows no leader, drawn from [1, 2) times this. */
export const earlyCampaignDelayMs = 120;
export const earlyCampaigns = 4;
/** Timeout of one call to another replica. */
export const consensusCallTimeoutMs = 400;
export const maximumEntriesPerAppend = 512;
export const maximumAppendBytes = 1_048_576;
export const snapshotChunkBytes = 262_144;
/** Entries after which a snapshot is taken. */
export const entriesBetweenSnapshots = 20_000;
/** Size of the entries after which a snapshot is taken, however few they are. */
export const bytesBetweenSnapshots = 16 * 1_048_576;
/** Entries up to the end of a snapshot that compaction keeps, so that a replica slightly behind needs no snapshot. */
export const entriesKeptOnCompaction = 2_000;
/** Size of the entries that compaction keeps at most. */
export const bytesKeptOnCompaction = 1_048_576;
/** Size at which the log continues in a new segment file. */
export const segmentBytes = 8 * 1_048_576;
/** Committed entries that a learner may lack when it is promoted to voter. */
export const promotionLagEntries = 100;
/** Version of the data folder's format. */
export const storageFormat = 1;
/** Time within which a proposal must be committed. */
export const proposalTimeoutMs = 3_000;
/** Uncommitted proposals a leader holds at once; further ones are rejected. */
export const maximumPendingProposals = 20_000;
