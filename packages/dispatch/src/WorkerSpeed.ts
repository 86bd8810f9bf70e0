/**
 * The speed of a worker, learnt from how long its runs took against what was expected on a worker of speed 1. Failures
 * and stalls are not part of it: a slow worker is given the tasks that have enough time for it.
 */

import { limitMagnitude } from "./limitMagnitude";

/** Weight of the newest run once enough are known; before, all runs weigh alike. */
const newestWeight = 0.14;
/** Number of imagined runs at speed 1, so that a single run does not decide. */
const priorRuns = 2;
/** Limit of the logarithm of one run's speed, as a few runs take several times as long on any worker. */
const largestDeviation = Math.log(3);

export class WorkerSpeed {
    private runs = priorRuns;
    private logarithm = 0;
    private speed = 1;

    /** 1 for a worker that has run nothing. */
    get value(): number {
        return this.speed;
    }

    /** Records a run that ended `done` after `ranMs`. */
    record(expectedMs: number, ranMs: number): void {
        this.runs += 1;
        const observed = Math.log(Math.max(1, expectedMs) / Math.max(1, ranMs));
        this.logarithm += Math.max(newestWeight, 1 / this.runs)
            * (limitMagnitude(observed, largestDeviation) - this.logarithm);
        this.speed = Math.exp(this.logarithm);
    }
}
