/** Orders within a class of requests. */

import { targetWaitFactor } from "./constants";
import type { GetOrderKey } from "./types";

/**
 * Earliest target first: the target is the latest start that meets the deadline, or earlier in proportion to the
 * expected run time, so that short work goes before long work and long work cannot be passed over for ever.
 */
export const getTargetStart: GetOrderKey = request =>
    Math.min(request.deadline - request.expectedRun, request.enqueuedAt + targetWaitFactor * request.expectedRun);

/** Earliest deadline first. */
export const getDeadline: GetOrderKey = request => request.deadline;

/** First in, first out. */
export const getArrival: GetOrderKey = request => request.enqueuedAt;
