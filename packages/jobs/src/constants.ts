/** Bounds and periods of the job path. */

/** Lease an owner holds on a worker; the worker stops the owner's tasks when it runs out. */
export const ownerLeaseMs = 3_000;
export const leaseRenewalMs = 1_000;
/** Time after its start in which an instance does not yet know all workers. */
export const settlingMs = 3_000;
/** Finished jobs kept for fetching. */
export const maximumFinishedJobs = 5_000;
export const finishedJobRetentionMs = 600_000;
/** Candidates looked at for one placement. */
export const placementSamples = 8;
/** Share of the processors that long tasks leave free for short ones. */
export const shortTaskReserve = 0.05;
/** Failures in a row after which a worker gets only probes. */
export const failuresToQuarantine = 5;
export const firstQuarantineMs = 2_000;
export const longestQuarantineMs = 60_000;
/** Time between two looks at which tasks can no longer start. */
export const expiryPeriodMs = 20;
/** Time a worker may take to answer a lease or cancel request. */
export const workerCallTimeoutMs = 1_000;
/** A task that ran this many times its expected run time is reported as a straggler. */
export const stragglerFactor = 8;
export const maximumPayloadBytes = 65_536;
export const maximumResultBytes = 1_048_576;
