/** Run numbers derived from wall time, so that they also increase when the owner doesn't know a job's earlier runs. */

import type { WallMilliseconds } from "@anvilmux/common";

/** Epoch of run numbers, 2026-01-01, chosen so that they stay below 2^31. */
const originSeconds = 1_767_225_600;
/** Run numbers available to one task per second. */
const runsPerSecond = 16;

/** The lowest run number for a task that is first started at `wallNow`. */
export const getLowestRunNumber = (wallNow: WallMilliseconds): number =>
    Math.max(1, (Math.floor(wallNow / 1_000) - originSeconds) * runsPerSecond);

/** Run numbers skipped after a worker refused a run because it knew a later one of the task. */
export const runsSkippedAfterOld = 64;
