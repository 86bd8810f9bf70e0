/** Learned run times by work kind. Declared ones are believed only until enough was seen. */

import type { Milliseconds } from "@anvilmux/common";
import { getPercentileMilliseconds, newLatencyHistogram, recordMilliseconds } from "@anvilmux/telemetry";
import type { Histogram } from "hdr-histogram-js";
import { longRunFactor, runTimeSmoothing, samplesBeforeLearning } from "./constants";

interface KindRunTimes {
    readonly histogram: Histogram;
    samples: number;
    average: Milliseconds;
    declared: Milliseconds;
}

/** Samples after which a kind's histogram starts anew, so that old behaviour is forgotten. */
const samplesPerWindow = 2_000;

export class RunTimes {
    private readonly kinds = new Map<string, KindRunTimes>();
    private shortest: Milliseconds | undefined;

    /** Sets the run time that the manifest declares. */
    declare(kind: string, declared: Milliseconds): void {
        this.getKind(kind).declared = declared;
        this.shortest = undefined;
    }

    record(kind: string, runTime: Milliseconds): void {
        const known = this.getKind(kind);
        if (known.samples % samplesPerWindow === samplesPerWindow - 1) {
            known.histogram.reset();
        }
        recordMilliseconds(known.histogram, runTime);
        known.samples += 1;
        const weight = Math.max(runTimeSmoothing, 1 / known.samples);
        known.average += weight * (runTime - known.average);
        this.shortest = undefined;
    }

    /** Mean run time to plan with. */
    getExpected(kind: string): Milliseconds {
        const known = this.getKind(kind);
        return known.samples >= samplesBeforeLearning ? known.average : known.declared;
    }

    /** Run time that `percentile` percent stay below; the declared one while little is known. */
    getPercentile(kind: string, percentile: number): Milliseconds {
        const known = this.getKind(kind);
        return known.histogram.totalCount >= samplesBeforeLearning
            ? getPercentileMilliseconds(known.histogram, percentile)
            : known.declared;
    }

    /** A run time over the kind's learned mean; 1 while the kind is not learned, since declarations are often wrong. */
    getSlowness(kind: string, runTime: Milliseconds): number {
        const known = this.getKind(kind);
        return known.samples >= samplesBeforeLearning ? runTime / Math.max(1, known.average) : 1;
    }

    /** True for a kind that runs many times longer than the shortest kind. */
    isLong(kind: string): boolean {
        this.shortest ??= Math.min(...[...this.kinds.keys()].map(name => this.getExpected(name)));
        return this.getExpected(kind) > this.shortest * longRunFactor;
    }

    private getKind(kind: string): KindRunTimes {
        let known = this.kinds.get(kind);
        if (!known) {
            known = { histogram: newLatencyHistogram(), samples: 0, average: 0, declared: 100 };
            this.kinds.set(kind, known);
        }
        return known;
    }
}
