/** Periods and bounds of dispatching tasks to workers. */

/** Longest lease a worker grants; longer ones are shortened by the worker. */
export const workerLeaseMs = 1_000;
/** A worker's steady clock may be this share slower than ours. */
export const workerClockDrift = 0.021;
/** Slack added to a lease before it counts as over. */
export const leaseMarginMs = 30;
/** Time a watch of a worker may wait for the end of a run, while none runs and while some do. */
export const idleWatchWaitMs = 450;
export const busyWatchWaitMs = 250;
/** Time after the wait within which a watch must be answered. */
export const watchGraceMs = 100;
/** Time a start or stop order may take to be answered. */
export const orderTimeoutMs = 80;
/** A start that reaches the worker later than this is refused by the worker. */
export const startValidityMs = 100;
/** Starts without an answer in a row after which a worker gets no task for a while. */
export const unansweredToPause = 2;
export const unansweredPauseMs = 1_000;
/** Time after the validity of an unanswered start at which the worker is looked at. */
export const lookAfterValidityMs = 12;
/** Ends that finish within this time are taken note of by one look. */
export const endGatherMs = 2;
export const firstRetryPauseMs = 100;
export const longestRetryPauseMs = 2_000;
/** Time after which a stop that was not carried out is ordered again. */
export const stopRepeatMs = 250;
/** Most ends that a worker lists at once. */
export const maximumListedEnds = 500;

/** Time a run without a job is left alone, so that its job can come back through another entry. */
export const orphanGraceMs = 400;
/** Time after a change of owner in which runs of an unreachable worker may go on: its old owner's patience and lease. */
export const takeoverUncertaintyMs = 1_900;
/** Time after which tasks that another zone handed over are stopped when its owner is lost. */
export const spilledGraceMs = 50;
/** Workers whose free room is told to other zones. */
export const maximumToldWorkers = 20;
/** Time between two reports of free room to other zones. */
export const roomReportPeriodMs = 100;
/** Ended jobs are remembered for this long, for callers that ask again. */
export const endedJobRetentionMs = 6_000;
export const maximumEndedJobs = 20_000;
/** Time between two looks at waiting jobs. */
export const poolTickMs = 20;
/** Waiting tasks behind one that finds no room that may pass it in one look. */
export const maximumPassedOver = 12;

/** A task may take this many times its estimate, on a slow worker or by a low guess. */
export const runTimeMargin = 1.3;
/** Advice to callers that were refused for want of room. */
export const refusalRetryMs = 1_000;
/** Time a job may wait at an entry that knows no owner of the zone's workers. */
export const ownerlessPatienceMs = 300;
/** Time an entry waits at its start for an owner to be heard, and the same once it hears every entry of its zone. */
export const electionSettlingMs = 400;
export const heardElectionSettlingMs = 100;
