/** Limits and intervals of the job path. */

/** Lease an owner holds on a worker; the worker stops the owner's tasks when it expires. */
export const ownerLeaseMs = 3_000;
export const leaseRenewalMs = 1_000;
/** Time after its start in which an instance does not yet know all workers. */
export const settlingMs = 3_000;
/** Finished jobs retained so that callers can fetch them. */
export const maximumFinishedJobs = 5_000;
export const finishedJobRetentionMs = 600_000;
/** Candidates examined for one placement. */
export const placementSamples = 8;
/** Share of the processors that long tasks leave free for short ones. */
export const shortTaskReserve = 0.05;
/** Consecutive failures after which a worker is quarantined. */
export const failuresToQuarantine = 5;
export const firstQuarantineMs = 2_000;
export const longestQuarantineMs = 60_000;
/** Interval of the check for tasks past their deadline, ended quarantines and stragglers. */
export const expiryPeriodMs = 20;
/** Timeout of lease, release and cancel requests to a worker. */
export const workerCallTimeoutMs = 1_000;
/** A task that ran this many times its expected run time is reported as a straggler. */
export const stragglerFactor = 8;
export const maximumPayloadBytes = 65_536;
export const maximumResultBytes = 1_048_576;
