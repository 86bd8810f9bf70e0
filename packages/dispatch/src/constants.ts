/**
 * Periods and bounds of dispatching tasks to workers. A watch is a long poll that extends a worker's lease and lists
 * its runs.
 */

/** Lease requested from a worker, and the longest that it accepts; the worker shortens longer ones. */
export const workerLeaseMs = 1_000;
/** A worker's monotonic clock may run slower than the owner's by this fraction. */
export const workerClockDrift = 0.021;
/** Margin added to a lease before it counts as expired. */
export const leaseMarginMs = 30;
/** Longest wait of a watch for a run to complete, on a worker without runs and on one with runs. */
export const idleWatchWaitMs = 450;
export const busyWatchWaitMs = 250;
/** The same on a worker whose lease is not extended, so that it is extended soon once all of its runs are waited for. */
export const withheldLeaseWaitMs = 50;
/** Time after its wait within which a watch must be answered. */
export const watchGraceMs = 100;
/** Timeout of a start or stop order. */
export const orderTimeoutMs = 80;
/** A call's timer that fires later than this share of its timeout shows that the calling process did not run. */
export const stallToleranceShare = 0.125;
/** Share of its timeout that such a call is given once more, as it may not have been sent before. */
export const stallGraceShare = 0.25;
/** A worker refuses a start order that reaches it later than this. */
export const startValidityMs = 100;
/** Consecutive unanswered starts after which a worker gets no tasks for `unansweredPauseMs`. */
export const unansweredToPause = 2;
export const unansweredPauseMs = 1_000;
/** Delay between the deadline of an unanswered start and the poll that finds out whether it was carried out. */
export const pollAfterValidityMs = 12;
/** Delay before the next watch after a completion, so that completions close together share one list. */
export const completionBatchMs = 2;
/** Number of workers up to which an owner makes all calls itself. */
export const maximumDirectWorkers = 24;
/** Time beyond a call's own timeout within which a relay must answer. */
export const relayTimeoutMs = 60;
/**
 * A timeout that fires later than this shows that the owner did not run; its call gets `ownerStallGraceMs` once more.
 */
export const ownerStallMs = 20;
export const ownerStallGraceMs = 40;
/** Number of relays below which the owner also makes calls itself. */
export const sufficientRelays = 4;
/** Time for which a relay that left a call unanswered gets no further ones. */
export const relaySuspicionMs = 1_000;
/** Time after which a relay closes connections to a worker that it was not asked to call. */
export const relayedDriverRetentionMs = 10_000;
export const firstRetryPauseMs = 100;
export const longestRetryPauseMs = 2_000;
/** Time after which a stop that was not carried out is ordered again. */
export const stopRepeatMs = 250;
/** Longest time after which a worker may carry out an order that it did not answer. */
export const longestOrderDelayMs = 15_000;
/** Maximum number of completions that a worker lists at once. */
export const maximumListedCompletions = 500;
/** Maximum number of lost runs that a log line names. */
export const maximumLoggedRuns = 5;

/** Time that a run without a job, or a job without a submitter, is kept for a resubmission through another entry. */
export const orphanGraceMs = 400;
/**
 * Time that a run without a job is kept for an entry that is not connected, on a worker that also runs tasks of others. Its
 * lease is not extended meanwhile, so that these would lapse.
 */
export const sharedWorkerGraceMs = 100;
/** Time that runs on an unreachable worker may continue after a change of owner: the old one's timeout and lease. */
export const takeoverUncertaintyMs = 1_900;
/** After a pause of the owner's process of this length another owner may have started the jobs that it has. */
export const ownershipDoubtMs = 1_500;
/** Time after which tasks forwarded by another zone are stopped once its owner is disconnected. */
export const spilledGraceMs = 50;
/** Maximum number of workers of a service whose free capacity is reported to other zones. */
export const maximumReportedWorkers = 20;
/** Period of the reports of free capacity to other zones. */
export const capacityReportPeriodMs = 100;
/** The same while a zone is drained, when all of its jobs depend on the reports. */
export const drainedCapacityReportPeriodMs = 20;
/**
 * In a drained zone a job waits for this long after another zone last reported room for it: several reports, and the
 * way of the tasks that were forwarded meanwhile.
 */
export const recentRoomMs = 200;
/** Time after a restore over which the zone's workers return. */
export const restoreReturnMs = 3_000;
/** Answers of ended jobs are kept for this long, for callers that resubmit. */
export const endedJobRetentionMs = 6_000;
export const maximumEndedJobs = 20_000;
/** Workers that crash under a task before it is given up. */
export const crashesToGiveUp = 2;
/**
 * Crashes within this time of each other may have the same cause; an owner learns of some a lease later than of others.
 */
export const crashCoincidenceMs = 3_000;
/**
 * Time for which a task is suspected after a worker crashed under it; longer than callers take to submit a job again.
 */
export const suspicionRetentionMs = 60_000;
export const maximumSuspects = 10_000;
/** Period of the checks for waiting and overdue jobs. */
export const schedulerTickMs = 20;
/** Maximum number of jobs of a service without capacity that one placement pass skips to place the jobs behind them. */
export const maximumPassedOver = 12;

/**
 * Part of a job's objective that passes outside its runs: the network to its caller, and the messages between entries.
 */
export const answerOverheadMs = 14;
/** A task may take this many times its estimate, on a slow worker or after a low estimate. */
export const runTimeMargin = 1.3;
/** Retry delay suggested to callers whose job was refused. */
export const refusalRetryMs = 1_000;
/**
 * Longest retry delay that a forecast suggests; callers that wait longer would miss capacity that becomes free early.
 */
export const longestRefusalRetryMs = 3_000;
/** Time a job may wait at an entry that knows of no owner of the zone's workers. */
export const ownerlessTimeoutMs = 300;
/** Time a starting entry waits for an owner's announcement; shorter once all entries of its zone are connected. */
export const electionSettlingMs = 400;
export const connectedElectionSettlingMs = 100;

/**
 * What was learnt of a queue or service without jobs for this time is dropped, since configurations can use ever new
 * names.
 */
export const learntRetentionMs = 3_600_000;
/** Names of queues or services of which something learnt is kept. */
export const maximumLearntNames = 4_096;
