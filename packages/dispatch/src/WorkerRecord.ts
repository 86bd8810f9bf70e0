/** What an owner has learned of a worker from the ends of its tasks: failures in a row and a factor of slowness. */

import type { Clock, Milliseconds } from "@anvilmux/common";

/** Failures in a row after which a worker gets no task for a while. */
const failuresToPause = 3;
const firstPauseMs = 1_500;
const longestPauseMs = 12_000;
/** Weight of the newest run in the factor of slowness. */
const newestWeight = 0.25;
/** Cost in millicores of each full step of slowness above the ordinary. */
const slownessCost = 20_000;
/** Slowness that is ordinary scatter of run times. */
const ordinarySlowness = 2;

export class WorkerRecord {
    private failuresInARow = 0;
    private pauses = 0;
    private pausedUntil: Milliseconds = 0;
    private slowness = 1;
    private lastNoted: Milliseconds = 0;

    constructor(private readonly clock: Clock) {}

    /** Notes a run that ended `done` after `ratio` times its expected time. */
    noteDone(ratio: number): void {
        this.failuresInARow = 0;
        this.pauses = 0;
        this.lastNoted = this.clock.now();
        this.slowness += newestWeight * (Math.min(ratio, 10) - this.slowness);
    }

    /** Notes a run that failed; returns the pause that begins, or 0. */
    noteFailed(): Milliseconds {
        this.failuresInARow += 1;
        return this.failuresInARow < failuresToPause ? 0 : this.nextPause();
    }

    /** Notes a run that stood still, which a sound worker never does; returns the pause that begins. */
    noteStandstill(): Milliseconds {
        return this.nextPause();
    }

    /** Each pause in a row is twice as long; what began before a pause cannot prolong it. */
    private nextPause(): Milliseconds {
        const now = this.clock.now();
        if (now < this.pausedUntil) {
            return 0;
        }
        const pause = Math.min(longestPauseMs, firstPauseMs * 2 ** this.pauses);
        this.pausedUntil = now + pause;
        this.pauses += 1;
        // The first run after the pause decides alone.
        this.failuresInARow = failuresToPause - 1;
        return pause;
    }

    /** Extra cost of choosing this worker, in millicores. */
    getPenalty(): number {
        const isRecent = this.clock.now() - this.lastNoted < longestPauseMs;
        return isRecent && this.slowness > ordinarySlowness ? slownessCost * (this.slowness - 1) : 0;
    }
}
