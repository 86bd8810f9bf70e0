/** Run numbers rise also when a job comes back through an entry that knows nothing of its earlier runs. */

import type { WallMilliseconds } from "@anvilmux/common";

/** Start of the count of seconds, so that run numbers stay below 2^31: 2026-01-01. */
const originSeconds = 1_767_225_600;
/** Runs of one task that can be told apart within a second. */
const runsPerSecond = 16;

/** The lowest run number for a task that is first started at `wallNow`. */
export const getFirstRun = (wallNow: WallMilliseconds): number =>
    Math.max(1, (Math.floor(wallNow / 1_000) - originSeconds) * runsPerSecond);

/** Runs passed over after a worker knew a later one of the task. */
export const runsSkippedAfterOld = 64;
