/**
 * A worker's record of ended runs: failures pause the worker, and slow runs raise the cost of placing tasks on it, as
 * does being cold.
 */

import type { Clock, Milliseconds } from "@anvilmux/common";

/** Consecutive failures after which a worker is paused. */
const failuresToPause = 3;
const firstPauseMs = 1_500;
const longestPauseMs = 12_000;
/** Weight of the latest run in the slowness factor, a moving average. */
const newestWeight = 0.25;
/** Placement cost per unit of the slowness factor above 1. */
const slownessCostMillicores = 20_000;
/** Placement cost of a cold worker: more than any unused room, so that a warm one goes before it. */
const coldCostMillicores = 200_000;
/** Slowness factors up to this are normal variation of run times and cost nothing. */
const ordinarySlowness = 2;

export class WorkerRecord {
    private failuresInARow = 0;
    private pauses = 0;
    private pausedUntil: Milliseconds = 0;
    private slowness = 1;
    private lastSuccessAt: Milliseconds = 0;
    private coldUntil: Milliseconds = 0;

    constructor(private readonly clock: Clock) {}

    /** Records a run that ended `done` after `ratio` times its estimate. */
    recordSuccess(ratio: number): void {
        this.failuresInARow = 0;
        this.pauses = 0;
        this.lastSuccessAt = this.clock.now();
        this.slowness += newestWeight * (Math.min(ratio, 10) - this.slowness);
    }

    /** Records a failed run; returns the length of the pause that begins, or 0. */
    recordFailure(): Milliseconds {
        this.failuresInARow += 1;
        return this.failuresInARow < failuresToPause ? 0 : this.beginPause();
    }

    /** Records a stalled run, which a healthy worker never has; returns the length of the pause that begins, or 0. */
    recordStall(): Milliseconds {
        return this.beginPause();
    }

    /** The worker announced that it runs tasks more slowly for this long. */
    setColdFor(length: Milliseconds): void {
        this.coldUntil = this.clock.now() + length;
    }

    /** Consecutive pauses double in length. Failures during a pause, of earlier runs, do not extend it. */
    private beginPause(): Milliseconds {
        const now = this.clock.now();
        if (now < this.pausedUntil) {
            return 0;
        }
        const pause = Math.min(longestPauseMs, firstPauseMs * 2 ** this.pauses);
        this.pausedUntil = now + pause;
        this.pauses += 1;
        // The first run after the pause decides alone: if it fails, the next pause begins.
        this.failuresInARow = failuresToPause - 1;
        return pause;
    }

    /** Extra cost of choosing this worker, in millicores. */
    getPenalty(): number {
        const now = this.clock.now();
        const isSlow = now - this.lastSuccessAt < longestPauseMs && this.slowness > ordinarySlowness;
        return (isSlow ? slownessCostMillicores * (this.slowness - 1) : 0)
            + (now < this.coldUntil ? coldCostMillicores : 0);
    }
}
