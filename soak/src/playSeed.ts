/**
 * One play: a deployment is started and serves callers while the faults of the plan come and go; then it recovers,
 * serves once more without faults, and is left alone, so that all promises can be checked.
 */

import { newRandom } from "@anvilmux/common";
import type { Milliseconds } from "@anvilmux/common";
import { rmSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { Callers } from "./Callers";
import { Deployment, pause, waitUntil } from "./Deployment";
import { Drains } from "./Drains";
import { FaultPlayer } from "./FaultPlayer";
import { programs, workerZones } from "./layout";
import { newPlan } from "./newPlan";
import { Operator } from "./Operator";
import type { PlayParts } from "./PlayParts";
import { PromiseChecker } from "./PromiseChecker";
import { reserveNetwork } from "./reserveNetwork";
import type { Plan, Violation } from "./types";
import { Workers } from "./Workers";

export interface PlayOptions {
    readonly seed: number;
    /** Time within which faults begin. */
    readonly lengthMs: Milliseconds;
    readonly programPath: string;
    readonly hasForwardersBetween: boolean;
    /** Holds the logs of the processes and the record of the play; removed after a play without violations. */
    readonly folder: string;
    readonly keepsFolder: boolean;
}

export interface PlayResult {
    readonly seed: number;
    readonly faults: number;
    readonly jobs: number;
    readonly tasksStarted: number;
    readonly outcomes: Readonly<Record<string, number>>;
    readonly violations: readonly Violation[];
    /** Undefined when nothing was kept. */
    readonly folder: string | undefined;
}

const firstConfigurationLimitMs: Milliseconds = 30_000;
const readyLimitMs: Milliseconds = 20_000;
const warmUpMs: Milliseconds = 1_500;
/** Time after the last fault within which service recovers. */
const recoveryMs: Milliseconds = 12_000;
const serviceMs: Milliseconds = 4_000;
/** Time after the last caller within which all runs end. */
const settleMs: Milliseconds = 3_000;
const readBackLimitMs: Milliseconds = 15_000;
const changeLimitMs: Milliseconds = 10_000;

export const playSeed = async (options: PlayOptions): Promise<PlayResult> => {
    const { seed, lengthMs } = options;
    const startedAt = performance.now();
    const lines: string[] = [];
    const now = () => performance.now() - startedAt;
    const log = (message: string) => void lines.push(`${now().toFixed(1).padStart(9)} ${message}`);
    const checker = new PromiseChecker(now);
    const plan = newPlan({ seed, lengthMs, programs, workerZones });
    const deployment = await Deployment.create({
        ...options,
        network: await reserveNetwork(),
        onUnexpectedEnd: (name, detail) => checker.report("processes", `${name} ended by itself: ${detail}`),
    });
    const parts: PlayParts = { deployment, checker, random: newRandom(seed), log };
    const workers = new Workers(parts);
    try {
        await run(plan, { ...parts, workers });
    }
    catch (error) {
        checker.report("play", String((error as Error).stack));
    }
    await deployment.close();
    workers.close();
    const { violations } = checker;
    const isKept = options.keepsFolder || violations.length > 0;
    if (isKept) {
        violations.forEach(violation => log(`violation: ${JSON.stringify(violation)}`));
        writeFileSync(join(options.folder, "record.txt"), `${lines.join("\n")}\n`);
    }
    else {
        rmSync(options.folder, { recursive: true, force: true });
    }
    return {
        seed,
        faults: plan.faults.length,
        jobs: checker.jobCount,
        tasksStarted: checker.startedCount,
        outcomes: checker.countOutcomes(),
        violations,
        folder: isKept ? options.folder : undefined,
    };
};

const run = async ({ faults, lostDisk }: Plan, parts: PlayParts & { readonly workers: Workers; }): Promise<void> => {
    const { deployment, checker, workers, log } = parts;
    const operator = new Operator(parts);
    const callers = new Callers(parts);
    deployment.startAll();
    await requireInTime(operator.change(firstConfigurationLimitMs), "the first configuration is not accepted");
    await workers.start();
    await requireInTime(waitUntil(() => areEntriesReady(deployment), readyLimitMs), "the entries are not ready");
    callers.start();
    operator.start();
    await pause(warmUpMs);
    const drains = new Drains(parts);
    await new FaultPlayer({ ...parts, drains }).play(faults);
    await drains.restoreAll(changeLimitMs);
    if (lostDisk !== undefined) {
        log(`all programs are killed, and ${lostDisk} loses its disk`);
        await operator.change(changeLimitMs);
        await deployment.killAll();
        deployment.loseDisk(lostDisk);
        deployment.startAll();
    }
    await pause(recoveryMs);
    const counts = callers.beginCount();
    await pause(serviceMs);
    await callers.stop();
    checker.checkService(counts.submitted, counts.completed);
    await operator.stop();
    await pause(settleMs);
    await operator.readBack(readBackLimitMs);
    checker.checkAtEnd();
    log(`outcomes ${JSON.stringify(checker.countOutcomes())}, after all faults ${JSON.stringify(counts)}`);
};

const areEntriesReady = async (deployment: Deployment): Promise<boolean> =>
    (await Promise.all([...deployment.callerForwarders.keys()].map(name => deployment.isReady(name)))).every(Boolean);

const requireInTime = async (condition: Promise<boolean>, failure: string): Promise<void> => {
    if (!await condition) {
        throw new Error(failure);
    }
};
