/** Tells a run that stands still from a slow one, by the share of its work that its worker lists. */

import type { Milliseconds } from "@anvilmux/common";

/** An ordinary task takes at most this many times its estimate. */
const longestOverEstimate = 3;
/** A run stands still when it made no progress in the time that this many percent should take. */
const missedPercent = 15;
const shortestStandstillMs = 100;
/** From this much observed progress on, a run's own pace tells more than its estimate. */
const knownPacePercent = 5;

/** All times are on the worker's clock, which does not go on while the worker itself is suspended. */
interface Sighting {
    readonly percent: number;
    readonly clock: Milliseconds;
}

export class RunProgress {
    private first: Sighting | undefined;
    /** The first sighting of the newest percentage. */
    private newest: Sighting | undefined;

    /** Notes what a list says; true when the run stands still. Without an estimate only its own pace tells. */
    note(percent: number, clock: Milliseconds, estimateMs: Milliseconds | undefined): boolean {
        this.first ??= { percent, clock };
        if (this.newest?.percent !== percent) {
            this.newest = { percent, clock };
            return false;
        }
        const msPerPercent = this.getPace() ?? getSlowestPace(estimateMs);
        const stillMs = clock - this.newest.clock;
        return msPerPercent !== undefined && stillMs >= Math.max(shortestStandstillMs, missedPercent * msPerPercent);
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
    estimateMs === undefined ? undefined : longestOverEstimate * estimateMs / 100;
