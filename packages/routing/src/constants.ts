/** Limits and factors of the request path. */

/** Samples of a work kind after which only its learned run times are used, without the declared one. */
export const samplesBeforeLearning = 20;
/** Minimum weight of a new run time in a kind's moving average. */
export const runTimeSmoothing = 0.02;
/** A kind is long when its expected run time exceeds that of the shortest common kind by more than this factor. */
export const longRunFactor = 8;
/** Target wait as a multiple of the expected run time; determines the order of requests within a class. */
export const targetWaitFactor = 2;
/** Upper bound of the target wait, as a share of the longest time that the request can wait. */
export const targetShareOfWait = 0.7;
/** Wait after which a request that is not urgent receives a share of the grants despite waiting urgent work. */
export const ageingBoundMs = 1_000;
/** Urgent grants after which an aged request takes precedence for one grant. */
export const grantsPerAgedGrant = 10;
/** Slots kept free for short urgent work, as a multiple of the square root of the slots it holds on average. */
export const headroomDeviations = 0.5;
/** Maximum share of the slots that is kept free for short urgent work. */
export const maximumHeadroomShare = 0.1;
/** Wait, as a multiple of its expected run time, over which the headroom that a long request leaves shrinks to 0. */
export const headroomWaitFactor = 0.5;
/** Time constant of the average numbers of slots held by short urgent work and by each kind. */
export const usageSmoothingMs = 1_000;
/** Consecutive failures after which an upstream is ejected. */
export const consecutiveFailuresToEject = 3;
/** Smoothed share of failures above which an upstream is ejected. */
export const failureShareToEject = 0.5;
/** Weight of a new sample in an upstream's smoothed failure share and slowness. */
export const healthSmoothing = 0.1;
/** An upstream is ejected when its slowness exceeds this multiple of the median, or of 1 if the median is lower. */
export const slownessToEject = 6;
/** Samples of an upstream that are required before it can be ejected as slow. */
export const samplesBeforeSlowness = 30;
/** Share of a service's upstreams in a zone that must remain healthy for another one to be ejected. */
export const minimumHealthyShare = 0.5;
export const firstEjectionMs = 1_000;
export const longestEjectionMs = 30_000;
/** Time for which a steward keeps the grants of an entry whose stream ended. */
export const orphanedGrantRetentionMs = 2_000;
/** Time for which a new steward waits for the zone's entries to report their held grants before it grants slots. */
export const grantReportWaitMs = 300;
/** Retries that each answered request adds to the balance, so that retries stay a share of the answers. */
export const retryShare = 0.1;
/** Initial and maximum balance of a retry budget. */
export const maximumRetryBalance = 50;
export const maximumAttempts = 4;
/** Upstreams that break off an exchange of one request before it is given up, as the request may be the cause. */
export const brokenExchangesToGiveUp = 2;
/** Time allowed for opening a connection to an upstream. */
export const connectTimeoutMs = 500;
/** Maximum answer size of a keyed request, since the answer is replicated; a larger one has the outcome unknown. */
export const maximumRecordedAnswerBytes = 65_536;
/** A request is admitted when its predicted wait is at most this share of the time it can wait. */
export const admittedWaitShare = 0.6;
/** Minimum slots assumed in a wait prediction, even when work with precedence holds all of them on average. */
export const minimumServingSlots = 1;
/** Percentile of learned run times for which a deadline must leave enough time. */
export const plannedRunPercentile = 95;
