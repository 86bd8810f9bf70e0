/**
 * Learned run times by work kind. A declared run time is used only until its kind has enough samples. An exchange is
 * one request to an upstream and its answer.
 */

import type { Clock, Milliseconds } from "@anvilmux/common";
import { getPercentileMilliseconds, newLatencyHistogram, recordMilliseconds } from "@anvilmux/telemetry";
import type { Histogram } from "hdr-histogram-js";
import { longRunFactor, runTimeSmoothing, samplesBeforeLearning } from "./constants";

interface KindRunTimes {
    readonly histogram: Histogram;
    samples: number;
    average: Milliseconds;
    declared: Milliseconds;
    /** Number of running exchanges, and the sum of their start times. */
    running: number;
    startTimeSum: Milliseconds;
    /** Completed exchanges, weighted with an exponential decay over time. */
    recentCount: number;
    recentUpdatedAt: Milliseconds;
}

/** Samples after which a kind's histogram is reset, so that outdated run times are discarded. */
const samplesPerWindow = 2_000;

/** Run time assumed for a kind without a declared one. */
const defaultDeclaredMs = 100;

/** Time for which the reference run time, with which long kinds are compared, is cached. */
const referenceLifetimeMs = 100;
/** Time constant of the decay of recent exchanges, after which their weight is 1/e, about a third. */
const recentDecayMs = 5_000;
/** Minimum share of the recent exchanges for a kind to count as common. */
const commonShare = 0.05;

/** Weight of a declared run time, in samples. */
const declarationWeight = 3;

export class RunTimes {
    private readonly kinds = new Map<string, KindRunTimes>();
    private reference: { readonly at: Milliseconds; readonly run: Milliseconds; } | undefined;

    /** Sets the run time that the manifest declares for a kind. */
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
        known.recentCount = this.getRecentCount(known) + 1;
        known.recentUpdatedAt = this.clock.now();
    }

    constructor(private readonly clock: Clock) {}

    /** Records the start of an exchange; the returned function records its end. */
    recordStart(kind: string): () => void {
        const known = this.getKind(kind);
        const startedAt = this.clock.now();
        known.running += 1;
        known.startTimeSum += startedAt;
        return () => {
            known.running -= 1;
            known.startTimeSum -= startedAt;
        };
    }

    /**
     * Expected mean run time. While few exchanges have ended, the elapsed time of the running ones is included, so
     * that a declaration that is too short is corrected before the kind's first exchange ends.
     */
    getExpected(kind: string): Milliseconds {
        const known = this.getKind(kind);
        if (known.samples >= samplesBeforeLearning) {
            return known.average;
        }
        const observed = known.average * known.samples + known.running * this.clock.now() - known.startTimeSum;
        return (known.declared * declarationWeight + observed) / (declarationWeight + known.samples);
    }

    /** Run time at the given percentile, or the expected run time while there are too few samples. */
    getPercentile(kind: string, percentile: number): Milliseconds {
        const known = this.getKind(kind);
        return known.histogram.totalCount >= samplesBeforeLearning
            ? getPercentileMilliseconds(known.histogram, percentile)
            : this.getExpected(kind);
    }

    /** Ratio of a run time to the kind's learned mean; 1 until it is learned, since declarations are often wrong. */
    getSlowness(kind: string, runTime: Milliseconds): number {
        const known = this.getKind(kind);
        return known.samples >= samplesBeforeLearning ? runTime / Math.max(1, known.average) : 1;
    }

    /** True for a kind that runs more than `longRunFactor` times longer than the shortest recently common kind. */
    isLong(kind: string): boolean {
        const now = this.clock.now();
        if (!this.reference || now - this.reference.at > referenceLifetimeMs) {
            this.reference = { at: now, run: this.getShortestCommonRun() };
        }
        return this.getExpected(kind) > this.reference.run * longRunFactor;
    }

    /** Ignores kinds that are rarely used now, so that a former short kind does not make all others count as long. */
    private getShortestCommonRun(): Milliseconds {
        const kinds = [...this.kinds.values()];
        const total = kinds.reduce((sum, known) => sum + this.getRecentCount(known), 0);
        const common = kinds.filter(known => total > 0 && this.getRecentCount(known) >= total * commonShare);
        const runs = common.length > 0 ? common.map(known => known.average) : kinds.map(known => known.declared);
        return Math.min(...runs);
    }

    private getRecentCount(known: KindRunTimes): number {
        return known.recentCount * Math.exp(-(this.clock.now() - known.recentUpdatedAt) / recentDecayMs);
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
                startTimeSum: 0,
                recentCount: 0,
                recentUpdatedAt: 0,
            };
            this.kinds.set(kind, known);
        }
        return known;
    }
}
