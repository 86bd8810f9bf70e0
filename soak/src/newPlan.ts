/**
 * Draws the faults of a play from its seed: several series run beside each other, each with one fault after the other,
 * so that faults overlap.
 */

import { newRandom } from "@anvilmux/common";
import type { Milliseconds, Random } from "@anvilmux/common";
import { draw, drawBetween, drawChance, drawWeighted } from "./draw";
import { callerWaitMs, resendAfterMs } from "./layout";
import type { Direction, FaultAction, NetworkFault, Plan, PlannedFault, Program } from "./types";

export interface PlanOptions {
    readonly seed: number;
    /** Time within which faults begin. */
    readonly lengthMs: Milliseconds;
    readonly programs: readonly Program[];
    readonly workerZones: readonly string[];
}

type Draw = (random: Random, options: PlanOptions) => FaultAction;

interface Series {
    /** Weights and kinds of its faults. */
    readonly kinds: readonly (readonly [weight: number, draw: Draw])[];
    readonly gapMs: readonly [Milliseconds, Milliseconds];
    readonly lastsMs: readonly [Milliseconds, Milliseconds];
}

/**
 * Share of the pauses and holds that end when the callers they kept waiting have sent their jobs again elsewhere, and
 * how long after that: then the first request and the second are served at the same time.
 */
const resendShare = 0.4;
const afterResendMs: readonly [Milliseconds, Milliseconds] = [20, 500];
/** Every fourth play ends with a lost disk. */
const lostDiskPeriod = 4;

const pickProgram = (random: Random, { programs }: PlanOptions, role?: Program["role"]): string =>
    draw(random, programs.filter(program => role === undefined || program.role === role)).name;

const drawNetworkFault = (random: Random): NetworkFault =>
    drawWeighted<() => NetworkFault>(random, [
        [4, () => ({ kind: "hold", direction: "both" })],
        [3, () => ({ kind: "hold", direction: draw<Direction>(random, ["forward", "backward"]) })],
        [2, () => ({ kind: "delay", delayMs: drawBetween(random, [200, 3_000]) })],
        [2, () => ({ kind: "silence" })],
        [1, () => ({ kind: "reset" })],
    ])();

const drawGroup = (random: Random, options: PlanOptions): readonly string[] => {
    const { programs } = options;
    const one = pickProgram(random, options);
    const { zone } = programs.find(({ name }) => name === one)!;
    return drawChance(random, 0.5) ? [one] : programs.filter(program => program.zone === zone).map(({ name }) => name);
};

const processSeries: Series = {
    kinds: [
        [4, (random, options) => ({ kind: "pause", program: pickProgram(random, options, "entry") })],
        [1, (random, options) => ({ kind: "pause", program: pickProgram(random, options, "control") })],
        [2, (random, options) => ({ kind: "kill", program: pickProgram(random, options) })],
        [2, (random, options) => ({ kind: "stop", program: pickProgram(random, options, "entry") })],
    ],
    gapMs: [300, 2_500],
    lastsMs: [300, 5_000],
};

const networkSeries: Series = {
    kinds: [[1, (random, options) => ({
        kind: "network",
        group: drawGroup(random, options),
        fault: drawNetworkFault(random),
    })]],
    gapMs: [500, 3_000],
    lastsMs: [300, 5_000],
};

const callerSeries: Series = {
    kinds: [[1, (random, options) => ({
        kind: "callers",
        program: pickProgram(random, options, "entry"),
        fault: drawNetworkFault(random),
    })]],
    gapMs: [300, 2_500],
    lastsMs: [500, 4_500],
};

const workerSeries: Series = {
    kinds: [
        [3, (random, { workerZones }) => ({
            kind: "late-orders",
            zone: draw(random, workerZones),
            share: drawBetween(random, [0.2, 0.9]),
            delayMs: drawBetween(random, [500, 5_500]),
        })],
        [2, (random, { workerZones }) => ({
            kind: "hold-workers",
            workers: workerZones.map((_, index) => index).filter(() => drawChance(random, 0.2)),
        })],
        [2, (random, { workerZones }) => ({
            kind: "crash-worker",
            worker: random.integer(workerZones.length),
        })],
    ],
    gapMs: [1_000, 4_000],
    lastsMs: [500, 4_000],
};

/** Long enough for a drain to be in force for a while before its end. */
const drainSeries: Series = {
    kinds: [[1, (random, { workerZones }) => ({ kind: "drain", zone: draw(random, workerZones) })]],
    gapMs: [1_000, 6_000],
    lastsMs: [4_000, 12_000],
};

const allSeries: readonly Series[] = [processSeries, processSeries, networkSeries, callerSeries, workerSeries];

const isWait = (action: FaultAction): boolean =>
    action.kind === "pause" || (action.kind === "callers" && action.fault.kind === "hold");

const drawLength = (series: Series, action: FaultAction, random: Random): Milliseconds =>
    isWait(action) && drawChance(random, resendShare)
        ? callerWaitMs + resendAfterMs + drawBetween(random, afterResendMs)
        : drawBetween(random, series.lastsMs);

const drawSeries = (series: Series, random: Random, options: PlanOptions): readonly PlannedFault[] => {
    const faults: PlannedFault[] = [];
    let atMs = drawBetween(random, series.gapMs);
    while (atMs < options.lengthMs) {
        const action = drawWeighted(random, series.kinds)(random, options);
        const lastsMs = drawLength(series, action, random);
        faults.push({ atMs, lastsMs, action });
        atMs += lastsMs + drawBetween(random, series.gapMs);
    }
    return faults;
};

export const newPlan = (options: PlanOptions): Plan => {
    const random = newRandom(options.seed);
    const faults = allSeries.flatMap(series => drawSeries(series, random, options));
    const lostDisk = options.seed % lostDiskPeriod === 0 ? pickProgram(random, options, "control") : undefined;
    // Drawn last, so that each seed keeps the other faults that it had before there were drains.
    const drains = drawSeries(drainSeries, random, options);
    return { faults: [...faults, ...drains].sort((left, right) => left.atMs - right.atMs), lostDisk };
};
