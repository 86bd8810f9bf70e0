/** Order keys of requests within a class: the default and baselines. */

import { targetShareOfWait, targetWaitFactor } from "./constants";
import type { GetOrderKey } from "./types";

/**
 * Earliest target start first. A request should start before a fixed share of the time it can wait is over, or within
 * a multiple of its expected run time if that is earlier. Short work therefore precedes long work, and admitted long
 * work takes precedence while there is still time to grant it a slot.
 */
export const getTargetStart: GetOrderKey = request => {
    const longestWait = request.deadline - request.enqueuedAt - request.plannedRun;
    return request.enqueuedAt + Math.min(longestWait * targetShareOfWait, targetWaitFactor * request.expectedRun);
};

/** Earliest deadline first. */
export const getDeadline: GetOrderKey = request => request.deadline;

/** First in, first out. */
export const getArrival: GetOrderKey = request => request.enqueuedAt;
