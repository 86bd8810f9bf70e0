/** Bounds and factors of the request path. */

/** Run times remembered for a work kind before learned values replace the declared one. */
export const samplesBeforeLearning = 20;
/** Weight of a new run time in the moving averages. */
export const runTimeSmoothing = 0.02;
/** A kind is long when its expected run time exceeds this multiple of the shortest busy kind's. */
export const longRunFactor = 8;
/** Waiting aimed at, as a multiple of the expected run time; orders requests of one class. */
export const targetWaitFactor = 2;
/** Share of the time a request can wait after which it comes before later work of its class. */
export const targetShareOfWait = 0.7;
/** Time after which a waiting request that is not urgent gets a share of grants in spite of urgent work. */
export const ageingBoundMs = 1_000;
/** While aged requests wait, one grant in so many goes to them. */
export const grantsPerAgedGrant = 10;
/** Slots kept free for short urgent work, in square roots of the slots such work holds on average. */
export const headroomDeviations = 0.5;
/** Largest share of the slots that is kept free. */
export const maximumHeadroomShare = 0.1;
/** A waiting long request gives up the headroom step by step; at this multiple of its run time none is left. */
export const headroomPatience = 0.5;
/** Smoothing time of the average number of slots held by short urgent work. */
export const usageSmoothingMs = 1_000;
/** Bytes of request bodies that may wait in one entry. */
export const maximumQueuedBytes = 64 * 1_048_576;
/** Failures in a row after which an upstream is ejected. */
export const consecutiveFailuresToEject = 3;
/** Share of failures, smoothed, above which an upstream is ejected. */
export const failureShareToEject = 0.5;
export const failureSmoothing = 0.1;
/** An upstream this many times slower than the zone's median is ejected. */
export const slownessToEject = 6;
export const samplesBeforeSlowness = 30;
/** Share of a service's upstreams in a zone that stay in use whatever they do. */
export const minimumHealthyShare = 0.5;
export const firstEjectionMs = 1_000;
export const longestEjectionMs = 30_000;
/** Time a steward keeps the grants of an entry whose stream broke. */
export const orphanedGrantMs = 2_000;
/** Time a new steward waits for the zone's entries to report the grants they hold. */
export const stewardSettleMs = 300;
/** Retries allowed for each answered request, as a share. */
export const retryShare = 0.1;
/** Retries that can be saved up. */
export const maximumSavedRetries = 50;
export const maximumAttempts = 4;
/** Time allowed for opening a connection to an upstream. */
export const connectTimeoutMs = 500;
/** Answers of keyed requests that are replicated; larger ones are refused for keyed work. */
export const maximumRecordedAnswerBytes = 65_536;
/** A request is taken when the predicted wait is at most this share of the time it can wait. */
export const admittedWaitShare = 0.6;
/** Slots that a prediction counts on even when other work holds all of them on average. */
export const minimumServingSlots = 1;
/** Percentile of learned run times that a deadline must leave room for. */
export const plannedRunPercentile = 95;
