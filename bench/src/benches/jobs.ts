/** Jobs on workers: response time against a baseline, tasks per second, placement cost, and failures under load. */

import { newRandom } from "@anvilmux/common";
import type { Random } from "@anvilmux/common";
import { WorkerIndex } from "@anvilmux/jobs";
import { request } from "undici";
import { ProcessDeployment } from "../ProcessDeployment";
import { benchManifest, callerToken, service, zones } from "../requestPath";
import { getPercentile, round } from "../statistics";
import type { Bench } from "../types";

const workersPerZone = 10;
const processors = 16;
const load = 0.7;
const meanTaskMs = 500;
const maximumTasksPerJob = 40;
const warmUpMs = 2_000;
const measuredMs = 6_000;
const authorization = `Bearer ${callerToken}`;

interface JobOutcome {
    readonly jobId: string;
    readonly state: string;
    readonly slowdown: number;
    readonly startedAt: number;
    readonly taskCount: number;
    readonly resultCount: number;
}

const submitJob = async (address: string, runTimes: readonly number[], startedAt: number): Promise<JobOutcome> => {
    const sentAt = performance.now();
    const tasks = runTimes.map((runMs, number) => ({
        id: `task-${number}`,
        declaredRunMs: meanTaskMs,
        payload: JSON.stringify({ runMs }),
    }));
    const failure = { jobId: "", state: "lost", slowdown: NaN, startedAt, taskCount: tasks.length, resultCount: 0 };
    try {
        const response = await request(`http://${address}/v1/jobs?waitMs=30000`, {
            method: "POST",
            headers: { authorization, "content-type": "application/json" },
            body: JSON.stringify({ urgent: true, tasks }),
            headersTimeout: 40_000,
        });
        const job = await response.body.json() as { jobId?: string; state?: string; results?: Record<string, string>; };
        const ideal = Math.max(...runTimes);
        return {
            ...failure,
            jobId: job.jobId ?? "",
            state: job.state ?? `refused-${response.statusCode}`,
            slowdown: (performance.now() - sentAt) / ideal,
            resultCount: Object.keys(job.results ?? {}).length,
        };
    }
    catch {
        return failure;
    }
};

const runJobs = async (
    deployment: ProcessDeployment,
    seed: number,
    duration: number,
): Promise<readonly JobOutcome[]> => {
    const random = newRandom(seed);
    const tasksPerSecond = load * zones.length * workersPerZone * processors * 1_000 / meanTaskMs;
    const jobsPerSecond = tasksPerSecond / ((1 + maximumTasksPerJob) / 2);
    const startedAt = performance.now();
    const pendingOutcomes: Promise<JobOutcome>[] = [];
    while (performance.now() - startedAt < duration) {
        while (pendingOutcomes.length < (performance.now() - startedAt) * jobsPerSecond / 1_000) {
            const runTimes = Array.from(
                { length: 1 + random.integer(maximumTasksPerJob) },
                () => sampleTaskRunMs(random),
            );
            const entries = deployment.publicAddresses;
            pendingOutcomes.push(
                submitJob(entries[pendingOutcomes.length % entries.length]!, runTimes, performance.now() - startedAt),
            );
        }
        await new Promise(resolve => setTimeout(resolve, 2));
    }
    return Promise.all(pendingOutcomes);
};

/** Run time of a task: 200 to 800 ms, uniformly distributed. */
const sampleTaskRunMs = (random: Random): number => 200 + 600 * random.next();

const startJobDeployment = async (placement: string): Promise<ProcessDeployment> => {
    const deployment = new ProcessDeployment({ zones, entries: [3, 3, 2], service, settings: { placement } });
    await deployment.start();
    await deployment.applyManifest(benchManifest(1));
    for (const zone of zones) {
        await deployment.addWorkers(zone, workersPerZone, processors);
    }
    await new Promise(resolve => setTimeout(resolve, 1_500));
    return deployment;
};

const countDoubleStarts = (deployment: ProcessDeployment): number =>
    deployment.workers.reduce(
        (sum, { standIn }) => sum + [...standIn.starts.values()].filter(count => count > 1).length,
        0,
    );

const getSlowdowns = (outcomes: readonly JobOutcome[]) =>
    outcomes.filter(outcome => outcome.state === "complete" && outcome.startedAt > warmUpMs).map(outcome =>
        outcome.slowdown
    );

/** Cost of one task placement, in microseconds, by the number of workers. */
const measurePlacement = (workers: number): number => {
    const index = new WorkerIndex(newRandom(1));
    for (let number = 0; number < workers; number++) {
        index.add(`worker-${number}`, `rack-${number >> 3}`, {
            processors: 16,
            memoryMebibytes: 32_768,
            accelerators: 0,
        });
    }
    const needed = { processors: 1, memoryMebibytes: 512, accelerators: 0 };
    const placed: string[] = [];
    let oldest = 0;
    const place = (count: number) => {
        for (let number = 0; number < count; number++) {
            const worker = index.find(needed);
            if (worker) {
                index.use(worker.id, needed);
                placed.push(worker.id);
            }
            if (placed.length - oldest > workers * 11) {
                index.use(placed[oldest++]!, needed, -1);
            }
        }
    };
    place(60_000);
    const startedAt = performance.now();
    const count = 100_000;
    place(count);
    return (performance.now() - startedAt) * 1_000 / count;
};

/** Tasks per second whose results arrive through one entry. */
const measureStartRate = async (): Promise<number> => {
    const deployment = new ProcessDeployment({ zones: [zones[0]], entries: [1], service, controlCount: 1 });
    await deployment.start();
    await deployment.applyManifest(benchManifest(1));
    await deployment.addWorkers(zones[0], workersPerZone, 1_000);
    await new Promise(resolve => setTimeout(resolve, 1_500));
    const address = deployment.publicAddresses[0]!;
    const runTimes = Array.from({ length: 160 }, () => 1);
    const runFor = async (duration: number) => {
        const endAt = performance.now() + duration;
        let tasks = 0;
        await Promise.all(Array.from({ length: 12 }, async () => {
            while (performance.now() < endAt) {
                tasks += (await submitJob(address, runTimes, 0)).resultCount;
            }
        }));
        return tasks * 1_000 / duration;
    };
    await runFor(2_000);
    const rate = await runFor(4_000);
    await deployment.stop();
    return rate;
};

/** Stops a worker and kills an entry under load. */
const runWithKills = async (deployment: ProcessDeployment, seed: number): Promise<readonly JobOutcome[]> => {
    setTimeout(() => {
        const { standIn, announcer } = deployment.workers[0]!;
        announcer.stop();
        void standIn.close();
    }, 1_000);
    setTimeout(() => void deployment.stopProcess(deployment.processes.at(-1)!.id, "SIGKILL"), 2_000);
    return runJobs(deployment, seed, 4_000);
};

export const jobs: Bench = {
    name: "jobs",
    description: "job time over ideal, starts a second, cost of a placement, at most one start",
    run: async seed => {
        const startsPerSecond = await measureStartRate();
        const deployment = await startJobDeployment("free-processors");
        const outcomes = await runJobs(deployment, seed, warmUpMs + measuredMs);
        const outcomesWithKills = await runWithKills(deployment, seed + 1);
        const doubleStarts = countDoubleStarts(deployment);
        await deployment.stop();
        const baselineDeployment = await startJobDeployment("random");
        const baseline = getSlowdowns(await runJobs(baselineDeployment, seed, warmUpMs + measuredMs));
        await baselineDeployment.stop();
        const placementAt30 = measurePlacement(30);
        const placementAt2900 = measurePlacement(2_900);
        const slowdowns = getSlowdowns(outcomes);
        const partial = [...outcomes, ...outcomesWithKills].filter(outcome =>
            outcome.state === "complete" ? outcome.resultCount !== outcome.taskCount : outcome.resultCount > 0
        );
        return {
            metrics: {
                median: round(getPercentile(slowdowns, 50)),
                p99: round(getPercentile(slowdowns, 99)),
                excessShareOfRandom: round((getPercentile(slowdowns, 99) - 1) / (getPercentile(baseline, 99) - 1)),
                jobs: slowdowns.length,
                taskStartsPerSecond: round(startsPerSecond, 0),
                placementMicroseconds30: round(placementAt30, 2),
                placementMicroseconds2900: round(placementAt2900, 2),
                placementRatio: round(placementAt2900 / placementAt30, 2),
                tasksStartedTwice: doubleStarts,
                partialAnswers: partial.length,
                failedWithKills: outcomesWithKills.filter(outcome => outcome.state === "failed").length,
                lostWithKills: outcomesWithKills.filter(outcome => outcome.state === "lost").length,
            },
            baseline: {
                randomMedian: round(getPercentile(baseline, 50)),
                randomP99: round(getPercentile(baseline, 99)),
            },
            targets: [
                { metric: "p99", bound: "at-most", value: 1.5 },
                { metric: "excessShareOfRandom", bound: "at-most", value: 0.5 },
                { metric: "taskStartsPerSecond", bound: "at-least", value: 5_000 },
                { metric: "placementRatio", bound: "at-most", value: 3 },
                { metric: "tasksStartedTwice", bound: "at-most", value: 0 },
                { metric: "partialAnswers", bound: "at-most", value: 0 },
            ],
        };
    },
};
