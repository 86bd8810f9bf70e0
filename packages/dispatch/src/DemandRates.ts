/** The processors that the jobs of each queue ask for in each millisecond, as a moving average. */

import type { Clock, Milliseconds } from "@anvilmux/common";
import { learntRetentionMs, maximumLearntNames } from "./constants";
import { RecentMap } from "./RecentMap";

/** Shorter than a peak of demand, which lasts seconds, and longer than the time between two jobs of a queue. */
const averagingMs = 400;
/** Shortest averaging time in mean run times: a queue of long runs has few jobs, and single ones must not decide. */
const averagedRuns = 2;
/** Weight of the newest job in the expected run time of its queue. */
const newestWeight = 0.05;

export interface QueueRate {
    readonly queue: string;
    readonly priority: number;
    readonly millicoresPerMs: number;
    /** Expected run time of its jobs. */
    readonly runMs: Milliseconds;
}

interface RateRecord extends QueueRate {
    /** Mean processors of a job, in millicores. */
    readonly jobMillicores: number;
    readonly updatedAt: Milliseconds;
}

export class DemandRates {
    private readonly records: RecentMap<string, RateRecord>;

    constructor(private readonly clock: Clock) {
        this.records = new RecentMap(clock, learntRetentionMs, maximumLearntNames);
    }

    /** Adds a job that asks for `millicores` for `runMs`. */
    record(queue: string, priority: number, millicores: number, runMs: Milliseconds): void {
        const updatedAt = this.clock.now();
        const present = this.records.get(queue);
        const rate = present ? getRate(present, updatedAt) : 0;
        const average = (mean: number | undefined, newest: number) =>
            mean === undefined ? newest : mean + newestWeight * (newest - mean);
        const meanRunMs = average(present?.runMs, runMs);
        this.records.set(queue, {
            queue,
            priority,
            millicoresPerMs: rate + millicores / getAveraging(meanRunMs),
            runMs: meanRunMs,
            jobMillicores: average(present?.jobMillicores, millicores),
            updatedAt,
        });
    }

    /** Mean processors of a job of the queue with the largest ones, in millicores; 0 while none is known. */
    get largestJobMillicores(): number {
        return Math.max(0, ...this.records.getValues().map(record => record.jobMillicores));
    }

    getAll(): readonly QueueRate[] {
        const now = this.clock.now();
        return this.records.getValues().map(record => ({ ...record, millicoresPerMs: getRate(record, now) }));
    }
}

const getAveraging = (runMs: Milliseconds): Milliseconds => Math.max(averagingMs, averagedRuns * runMs);

const getRate = ({ millicoresPerMs, runMs, updatedAt }: RateRecord, now: Milliseconds): number =>
    millicoresPerMs * Math.exp((updatedAt - now) / getAveraging(runMs));
