/**
 * Forecast of when waiting jobs start: the processors that running tasks are expected to free, by time, are given to
 * the jobs in their order, and are free again after their expected run times.
 */

import type { Milliseconds } from "@anvilmux/common";

const bucketCount = 128;
/** Time up to which a forecast reaches at least; its periods are then 8 ms long. */
export const shortestHorizonMs: Milliseconds = 1_024;
/** Beyond half a day no forecast tells anything. */
const longestHorizonMs: Milliseconds = shortestHorizonMs * 2 ** 15;

/**
 * How far a forecast has to reach for a job that can wait for `slackMs`; one of few values, so that jobs share
 * forecasts.
 */
export const getHorizon = (slackMs: Milliseconds): Milliseconds => {
    let horizonMs = shortestHorizonMs;
    while (horizonMs < Math.min(slackMs, longestHorizonMs)) {
        horizonMs *= 2;
    }
    return horizonMs;
};

/** A job that waits for processors. */
export interface WaitingDemand {
    readonly millicores: number;
    /** Expected run time of its longest task. */
    readonly runMs: Milliseconds;
    /** Time from now within which it has to start. */
    readonly slackMs: Milliseconds;
}

/** Demand that is expected to arrive at a steady rate and goes before the waiting jobs. */
export interface ExpectedDemand {
    readonly millicoresPerMs: number;
    readonly runMs: Milliseconds;
}

export class CapacityForecast {
    /** Processors that become free in each period from now on, in millicores. */
    private readonly released = new Float64Array(bucketCount);
    /** Working copy of one forecast. */
    private readonly available = new Float64Array(bucketCount);
    private readonly bucketMs: Milliseconds;

    constructor(readonly horizonMs: Milliseconds = shortestHorizonMs) {
        this.bucketMs = horizonMs / bucketCount;
    }

    /** Adds processors that become free in `inMs`. */
    addRelease(inMs: Milliseconds, millicores: number): void {
        const bucket = Math.max(0, Math.floor(inMs / this.bucketMs));
        if (bucket < bucketCount) {
            this.released[bucket]! += millicores;
        }
    }

    /**
     * The time from now at which each job has all its processors, `Infinity` beyond the horizon. Jobs are served in
     * the given order, after what is expected to arrive.
     */
    getStarts(jobs: readonly WaitingDemand[], expected: readonly ExpectedDemand[]): readonly Milliseconds[] {
        const { available, bucketMs } = this;
        available.set(this.released);
        expected.forEach(demand => this.reserve(demand));
        let bucket = 0;
        let free = available[0]!;
        return jobs.map(job => {
            while (free < job.millicores && bucket < bucketCount - 1) {
                bucket += 1;
                free += available[bucket]!;
            }
            if (free < job.millicores) {
                return Infinity;
            }
            free -= job.millicores;
            const endBucket = bucket + Math.max(1, Math.round(job.runMs / bucketMs));
            if (endBucket < bucketCount) {
                available[endBucket]! += job.millicores;
            }
            return bucket * bucketMs;
        });
    }

    /** Takes what arrives in each period out of the forecast, and returns it after its run time. */
    private reserve({ millicoresPerMs, runMs }: ExpectedDemand): void {
        const perBucket = millicoresPerMs * this.bucketMs;
        const runBuckets = Math.max(1, Math.round(runMs / this.bucketMs));
        for (let bucket = 0; bucket < bucketCount; bucket++) {
            this.available[bucket]! -= bucket < runBuckets ? perBucket : 0;
        }
    }
}
