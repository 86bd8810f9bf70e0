/**
 * Expected run times of tasks, learnt for each queue from those that ended. Callers' estimates are rough: the logarithm
 * of the run time is regressed on that of the estimate, so that estimates count only as far as they predict run times.
 */

import type { Clock, Milliseconds } from "@anvilmux/common";
import { learntRetentionMs, maximumLearntNames } from "./constants";
import { limitMagnitude } from "./limitMagnitude";
import { RecentMap } from "./RecentMap";

/** Weight that the past keeps at each further run. */
const decay = 0.995;
/** Number of imagined runs that took exactly their estimate; they count until real ones outweigh them. */
const priorRuns = 6;
/** Variance of the logarithm of the estimates of those runs. */
const priorVariance = 0.16;
/** Run times are recorded and expected as at most three times their estimate, and at least a third of it. */
const largestDeviation = Math.log(3);

/** Sums over the runs of a queue, with decay. */
interface QueueRuns {
    count: number;
    estimate: number;
    estimateSquare: number;
    deviation: number;
    product: number;
}

export class RunTimeModel {
    private readonly queues: RecentMap<string, QueueRuns>;

    constructor(clock: Clock) {
        this.queues = new RecentMap(clock, learntRetentionMs, maximumLearntNames);
    }

    /** Records a run that ended `done`; `ranMs` is what it would have taken on a worker of speed 1. */
    record(queue: string, estimateMs: Milliseconds, ranMs: Milliseconds): void {
        const runs = this.queues.get(queue) ?? newQueueRuns();
        this.queues.set(queue, runs);
        const estimate = Math.log(Math.max(1, estimateMs));
        const ratio = Math.max(1, ranMs) / Math.max(1, estimateMs);
        const deviation = limitMagnitude(Math.log(ratio), largestDeviation);
        runs.count = decay * runs.count + 1;
        runs.estimate = decay * runs.estimate + estimate;
        runs.estimateSquare = decay * runs.estimateSquare + estimate * estimate;
        runs.deviation = decay * runs.deviation + deviation;
        runs.product = decay * runs.product + estimate * deviation;
    }

    /** The expected run time of a task on a worker of speed 1. */
    expect(queue: string, estimateMs: Milliseconds): Milliseconds {
        const runs = this.queues.get(queue);
        if (!runs) {
            return estimateMs;
        }
        const estimate = Math.log(Math.max(1, estimateMs));
        const meanEstimate = runs.estimate / runs.count;
        const covariance = runs.product - meanEstimate * runs.deviation;
        const variance = runs.estimateSquare - meanEstimate * runs.estimate;
        const slope = covariance / (variance + priorRuns * priorVariance);
        const meanDeviation = runs.deviation / (runs.count + priorRuns);
        // The line does not hold far from the recorded estimates: a steep one would give run times of years.
        const deviation = limitMagnitude(meanDeviation + slope * (estimate - meanEstimate), largestDeviation);
        return Math.exp(estimate + deviation);
    }
}

const newQueueRuns = (): QueueRuns => ({ count: 0, estimate: 0, estimateSquare: 0, deviation: 0, product: 0 });
