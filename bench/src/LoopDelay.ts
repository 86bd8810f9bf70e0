/** Event loop delay of this process beyond the sampling period. */

import type { Milliseconds } from "@anvilmux/common";
import { monitorEventLoopDelay } from "node:perf_hooks";

const resolutionMs = 5;
const nanosecondsPerMillisecond = 1_000_000;

export class LoopDelay {
    private readonly histogram = monitorEventLoopDelay({ resolution: resolutionMs });

    /** Discards what was recorded and records from now on. */
    restart(): void {
        this.histogram.reset();
        this.histogram.enable();
    }

    getPercentileMs(percentile: number): Milliseconds {
        return Math.max(0, this.histogram.percentile(percentile) / nanosecondsPerMillisecond - resolutionMs);
    }
}
