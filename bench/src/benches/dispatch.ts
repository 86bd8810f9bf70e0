/**
 * Processor time of the owner of a zone's workers for each task start, by number of workers at a constant rate for each,
 * and what it serves and refuses within the processor budget of an entry.
 */

import type { Milliseconds } from "@anvilmux/common";
import { playDispatch } from "../dispatchDeployment";
import type { DispatchResult } from "../dispatchDeployment";
import type { JobRecord } from "../DispatchLoad";
import { measureSchedulerCost } from "../schedulerCost";
import { getPercentile, round } from "../statistics";
import type { Bench, Metrics } from "../types";

const workerCounts = [30, 100, 300] as const;
/** Task starts per second for each worker. */
const startsPerWorker = 2;
/** Workers of a large zone, and half of its mean load, its mean load and its crest in task starts per second. */
const budgetWorkers = 82;
const budgetRates = { HalfMean: 310, Mean: 620, Crest: 950 } as const;
/** Share of a core that an entry has. */
const processorShare = 0.324;
/** The same for all numbers of workers, so that they are compared with code compiled alike. */
const warmUpRate = 240;
const warmUpMs: Milliseconds = 5_000;
const budgetWarmUpMs: Milliseconds = 3_000;
const measuredMs: Milliseconds = 5_000;
const microsecondsPerMillisecond = 1_000;
/** Starts per worker, starts and rounds of the measurement of the scheduler alone; the cheapest round counts. */
const schedulerStartsPerWorker = 6;
const schedulerStarts = 2_500;
const schedulerRounds = 3;

const getShare = (jobs: readonly JobRecord[], isCounted: (job: JobRecord) => boolean): number =>
    round(jobs.filter(isCounted).length / jobs.length);

const getMetrics = (
    suffix: string,
    { cost, jobs, counts, disconnections, standInDelayP99Ms }: DispatchResult,
): Metrics => ({
    [`processorMsPerStart${suffix}`]: round(cost.processorMs / cost.starts),
    [`choiceMicrosecondsPerStart${suffix}`]: round(cost.choiceMs * microsecondsPerMillisecond / cost.starts, 1),
    [`cores${suffix}`]: round(cost.processorMs / cost.elapsedMs),
    [`startsPerSecond${suffix}`]: round(cost.starts * 1_000 / cost.elapsedMs, 0),
    [`watchesPerStart${suffix}`]: round(cost.watches / cost.starts, 2),
    [`loopDelayMedianMs${suffix}`]: round(cost.loopDelayMedianMs, 1),
    [`loopDelayP99Ms${suffix}`]: round(cost.loopDelayP99Ms, 1),
    [`servedShare${suffix}`]: getShare(jobs, job => job.answer === "completed" && job.latencyMs <= job.objectiveMs),
    [`lateShare${suffix}`]: getShare(jobs, job => job.answer === "completed" && job.latencyMs > job.objectiveMs),
    [`refusedShare${suffix}`]: getShare(jobs, job => job.answer === "refused"),
    [`unknownShare${suffix}`]: getShare(jobs, job => job.answer === "unknown"),
    [`latencyP99Ms${suffix}`]: round(getPercentile(jobs.map(job => job.latencyMs), 99), 0),
    [`lapsedRuns${suffix}`]: counts.lapsedRuns,
    [`doubledRuns${suffix}`]: counts.doubledRuns,
    [`connections${suffix}`]: counts.connections,
    [`disconnections${suffix}`]: disconnections,
    [`standInDelayP99Ms${suffix}`]: round(standInDelayP99Ms, 1),
});

/** Processor milliseconds of the scheduler alone for each start, by number of workers. */
const measureSchedulerCosts = async (seed: number): Promise<readonly number[]> => {
    const costs = workerCounts.map(() => Infinity);
    for (let number = 0; number < schedulerRounds; number++) {
        for (const [index, workers] of workerCounts.entries()) {
            const cost = await measureSchedulerCost({
                workers,
                startsPerWorker: schedulerStartsPerWorker,
                starts: schedulerStarts,
                seed,
            });
            costs[index] = Math.min(costs[index]!, cost);
        }
    }
    return costs;
};

const getGrowth = (costs: readonly number[]): number => round(costs[costs.length - 1]! / costs[0]!);

export const dispatch: Bench = {
    name: "dispatch",
    description: "processor time of a zone's owner for each task start, and service within an entry's budget",
    run: async seed => {
        const schedulerCosts = await measureSchedulerCosts(seed);
        const bySize: DispatchResult[] = [];
        for (const workers of workerCounts) {
            bySize.push(
                await playDispatch({
                    workers,
                    taskRate: startsPerWorker * workers,
                    processorShare: undefined,
                    seed,
                    warmUpRate,
                    warmUpMs,
                    measuredMs,
                }),
            );
        }
        const budgetMetrics: Metrics[] = [];
        for (const [name, taskRate] of Object.entries(budgetRates)) {
            const result = await playDispatch({
                workers: budgetWorkers,
                taskRate,
                processorShare,
                seed,
                warmUpRate,
                warmUpMs: budgetWarmUpMs,
                measuredMs,
            });
            budgetMetrics.push(getMetrics(`Budget${name}`, result));
        }
        return {
            metrics: {
                schedulerGrowth: getGrowth(schedulerCosts),
                processorGrowth: getGrowth(bySize.map(({ cost }) => cost.processorMs / cost.starts)),
                ...Object.fromEntries(workerCounts.map((workers, index) => [
                    `schedulerMicrosecondsPerStartAt${workers}`,
                    round(schedulerCosts[index]! * microsecondsPerMillisecond, 1),
                ])),
                ...Object.assign({}, ...bySize.map((result, index) => getMetrics(`At${workerCounts[index]}`, result))),
                ...Object.assign({}, ...budgetMetrics),
            },
            baseline: {},
            targets: [
                { metric: "schedulerGrowth", bound: "at-most", value: 1.1 },
                { metric: "processorGrowth", bound: "at-most", value: 1.1 },
                { metric: "refusedShareBudgetMean", bound: "at-most", value: 0 },
            ],
        };
    },
};
