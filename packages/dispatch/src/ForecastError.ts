/**
 * How much later than forecast jobs have all their processors: gaps that no waiting task fits into, runs that take
 * longer than expected, and delays between processes. Admission leaves as much time as recent forecasts lacked.
 */

import type { Clock, Milliseconds } from "@anvilmux/common";

const newestWeight = 0.04;
/** Time left in addition to the mean error, in mean absolute deviations. */
const deviations = 1;
/** What is known fades by half in this time, so that a queue which no longer waits can try again. */
const halfLifeMs = 10_000;

export class ForecastError {
    private mean: Milliseconds = 0;
    private deviation: Milliseconds = 0;
    private recordedAt: Milliseconds = 0;

    constructor(private readonly clock: Clock) {}

    /** Time to leave between the forecast start of a job and its latest one. */
    get margin(): Milliseconds {
        const ageMs = this.clock.now() - this.recordedAt;
        return Math.max(0, this.mean + deviations * this.deviation) * 2 ** (-ageMs / halfLifeMs);
    }

    /** `errorMs`: how much later than forecast the last task of a job was placed. */
    record(errorMs: Milliseconds): void {
        const difference = errorMs - this.mean;
        this.mean += newestWeight * difference;
        this.deviation += newestWeight * (Math.abs(difference) - this.deviation);
        this.recordedAt = this.clock.now();
    }
}
