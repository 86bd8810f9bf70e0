/** Orders within a class of requests. */

import { targetShareOfWait, targetWaitFactor } from "./constants";
import type { GetOrderKey } from "./types";

/**
 * Earliest target first: a request should start before most of the time it can wait is over, or earlier in proportion
 * to its expected run time. Short work so goes before long work, and long work that was admitted comes first while
 * there is still time to get it a slot.
 */
export const getTargetStart: GetOrderKey = request => {
    const longestWait = request.deadline - request.enqueuedAt - request.plannedRun;
    return request.enqueuedAt + Math.min(longestWait * targetShareOfWait, targetWaitFactor * request.expectedRun);
};

/** Earliest deadline first. */
export const getDeadline: GetOrderKey = request => request.deadline;

/** First in, first out. */
export const getArrival: GetOrderKey = request => request.enqueuedAt;
