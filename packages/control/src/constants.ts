/** Periods and bounds of the control group. */

export const heartbeatPeriodMs = 250;
/** A follower that heard no leader for this long asks for votes; the actual time is drawn from [1, 2) times this. */
export const electionTimeoutMs = 700;
/** A replica that starts and hears no leader asks for votes this soon, drawn from [1, 2) times this. */
export const earlyCampaignMs = 120;
export const earlyCampaigns = 4;
/** Time one message to another replica may take. */
export const consensusCallTimeoutMs = 400;
export const maximumEntriesPerAppend = 512;
export const maximumAppendBytes = 1_048_576;
export const snapshotChunkBytes = 262_144;
/** Entries after which a snapshot is taken. */
export const entriesBetweenSnapshots = 20_000;
/** Entries kept behind a snapshot, so that a replica slightly behind needs no snapshot. */
export const entriesKeptBehindSnapshot = 2_000;
/** Size after which the log continues in a new segment file. */
export const segmentBytes = 8 * 1_048_576;
/** Entries a learner may lack when it is made a voter. */
export const promotionLagEntries = 100;
/** Version of the data folder's format. */
export const storageFormat = 1;
/** Time a proposal may wait for its commit. */
export const proposalTimeoutMs = 3_000;
/** Proposals the leader keeps waiting at once; further ones are refused. */
export const maximumPendingProposals = 20_000;
