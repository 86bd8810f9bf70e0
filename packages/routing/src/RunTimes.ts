/** Learned run times by work kind. Declared ones are believed only until enough was seen. */

import type { Clock, Milliseconds } from "@anvilmux/common";
import { getPercentileMilliseconds, newLatencyHistogram, recordMilliseconds } from "@anvilmux/telemetry";
import type { Histogram } from "hdr-histogram-js";
import { longRunFactor, runTimeSmoothing, samplesBeforeLearning } from "./constants";

interface KindRunTimes {
    readonly histogram: Histogram;
    samples: number;
    average: Milliseconds;
    declared: Milliseconds;
    /** Exchanges that have not ended, and the sum of the times at which they started. */
    running: number;
    startSum: Milliseconds;
}

/** Samples after which a kind's histogram starts anew, so that old behaviour is forgotten. */
const samplesPerWindow = 2_000;

/** Run time assumed for a kind that nobody declared. */
const defaultDeclaredMs = 100;

/** How many observed run times a declaration is worth. */
const declarationWeight = 3;

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

    constructor(private readonly clock: Clock) {}

    /** Notes that an exchange began; returns the function that notes its end. */
    noteStart(kind: string): () => void {
        const known = this.getKind(kind);
        const startedAt = this.clock.now();
        known.running += 1;
        known.startSum += startedAt;
        return () => {
            known.running -= 1;
            known.startSum -= startedAt;
        };
    }

    /**
     * Mean run time to plan with. While few exchanges have ended, the time that the running ones have taken counts
     * too: a kind that was declared short is found out before its first exchange ends.
     */
    getExpected(kind: string): Milliseconds {
        const known = this.getKind(kind);
        if (known.samples >= samplesBeforeLearning) {
            return known.average;
        }
        const observed = known.average * known.samples + known.running * this.clock.now() - known.startSum;
        return (known.declared * declarationWeight + observed) / (declarationWeight + known.samples);
    }

    /** Run time that `percentile` percent stay below; the declared one while little is known. */
    getPercentile(kind: string, percentile: number): Milliseconds {
        const known = this.getKind(kind);
        return known.histogram.totalCount >= samplesBeforeLearning
            ? getPercentileMilliseconds(known.histogram, percentile)
            : this.getExpected(kind);
    }

    /** A run time over the kind's learned mean; 1 while the kind is not learned, since declarations are often wrong. */
    getSlowness(kind: string, runTime: Milliseconds): number {
        const known = this.getKind(kind);
        return known.samples >= samplesBeforeLearning ? runTime / Math.max(1, known.average) : 1;
    }

    /** True for a kind that runs many times longer than the shortest kind. */
    isLong(kind: string): boolean {
        this.shortest ??= Math.min(
            ...[...this.kinds.values()].map(known =>
                known.samples >= samplesBeforeLearning ? known.average : known.declared
            ),
        );
        return this.getExpected(kind) > this.shortest * longRunFactor;
    }

    private getKind(kind: string): KindRunTimes {
        let known = this.kinds.get(kind);
        if (!known) {
            known = {
                histogram: newLatencyHistogram(),
                samples: 0,
                average: 0,
                declared: defaultDeclaredMs,
                running: 0,
                startSum: 0,
            };
            this.kinds.set(kind, known);
        }
        return known;
    }
}
