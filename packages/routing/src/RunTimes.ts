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
    /** Exchanges that ended lately, fading with time. */
    recent: number;
    recentAt: Milliseconds;
}

/** Samples after which a kind's histogram starts anew, so that old behaviour is forgotten. */
const samplesPerWindow = 2_000;

/** Run time assumed for a kind that nobody declared. */
const defaultDeclaredMs = 100;

const referenceLifetimeMs = 100;
/** Time in which the memory of recent exchanges fades to about a third. */
const recentFadingMs = 5_000;
/** Share of the recent exchanges that makes a kind common. */
const commonShare = 0.05;

/** How many observed run times a declaration is worth. */
const declarationWeight = 3;

export class RunTimes {
    private readonly kinds = new Map<string, KindRunTimes>();
    private reference: { readonly at: Milliseconds; readonly run: Milliseconds; } | undefined;

    /** Sets the run time that the manifest declares. */
    declare(kind: string, declared: Milliseconds): void {
        this.getKind(kind).declared = declared;
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
        known.recent = this.getRecent(known) + 1;
        known.recentAt = this.clock.now();
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

    /** True for a kind that runs many times longer than the shortest kind with a part in the recent work. */
    isLong(kind: string): boolean {
        const now = this.clock.now();
        if (!this.reference || now - this.reference.at > referenceLifetimeMs) {
            this.reference = { at: now, run: this.getShortestCommonRun() };
        }
        return this.getExpected(kind) > this.reference.run * longRunFactor;
    }

    /** A kind that is hardly used any more does not decide what counts as long. */
    private getShortestCommonRun(): Milliseconds {
        const kinds = [...this.kinds.values()];
        const total = kinds.reduce((sum, known) => sum + this.getRecent(known), 0);
        const common = kinds.filter(known => total > 0 && this.getRecent(known) >= total * commonShare);
        const runs = common.length > 0 ? common.map(known => known.average) : kinds.map(known => known.declared);
        return Math.min(...runs);
    }

    private getRecent(known: KindRunTimes): number {
        return known.recent * Math.exp(-(this.clock.now() - known.recentAt) / recentFadingMs);
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
                recent: 0,
                recentAt: 0,
            };
            this.kinds.set(kind, known);
        }
        return known;
    }
}
