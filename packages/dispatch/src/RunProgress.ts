/** Distinguishes a stalled run from a slow one by the progress that its worker reports. */

import type { Milliseconds } from "@anvilmux/common";

/** A task that is not stalled takes at most this many times its estimate. */
const maximumEstimateFactor = 3;
/** A run is stalled when it made no progress in the time that this many percent should take. */
const stallPercent = 15;
const shortestStallMs = 100;
/** Once this much progress was observed, a run's own pace is used instead of its estimate. */
const knownPacePercent = 5;

/** Times are on the worker's clock, which does not advance while the worker itself is suspended. */
interface ProgressSample {
    readonly percent: number;
    readonly clock: Milliseconds;
}

export class RunProgress {
    private first: ProgressSample | undefined;
    /** The first sample with the latest percentage. */
    private newest: ProgressSample | undefined;

    /** Records reported progress; true when the run is stalled. Without an estimate only its own pace is used. */
    record(percent: number, clock: Milliseconds, estimateMs: Milliseconds | undefined): boolean {
        this.first ??= { percent, clock };
        if (this.newest?.percent !== percent) {
            this.newest = { percent, clock };
            return false;
        }
        const msPerPercent = this.getPace() ?? getSlowestPace(estimateMs);
        const unchangedMs = clock - this.newest.clock;
        return msPerPercent !== undefined && unchangedMs >= Math.max(shortestStallMs, stallPercent * msPerPercent);
    }

    /** Observed time for one percent of the work; undefined while too little was observed. */
    private getPace(): Milliseconds | undefined {
        if (!this.first || !this.newest || this.newest.percent - this.first.percent < knownPacePercent) {
            return undefined;
        }
        return (this.newest.clock - this.first.clock) / (this.newest.percent - this.first.percent);
    }
}

const getSlowestPace = (estimateMs: Milliseconds | undefined): Milliseconds | undefined =>
    estimateMs === undefined ? undefined : maximumEstimateFactor * estimateMs / 100;
