/** The lines in which a pool tells what it decided and on which grounds. */

import type { Clock } from "@anvilmux/common";
import type { Logger, Metrics } from "@anvilmux/telemetry";
import type { PoolJob, PoolTask } from "./PoolJob";
import type { Run, RunOutcome } from "./RunTable";
import type { WorkerSession } from "./WorkerSession";

export interface PoolLog {
    readonly clock: Clock;
    readonly logger: Logger;
    readonly metrics: Metrics;
}

/** The room that a pool saw when it gave a job up. */
export interface SeenRoom {
    readonly waitingJobs: number;
    readonly workers: number;
    readonly usableWorkers: number;
    readonly freeMillicores: number;
    readonly largestGapMillicores: number;
    /** Free processors that other zones reported, as `zone:millicores`. */
    readonly otherZones: string;
}

export const logPlacement = (
    { metrics, logger }: PoolLog,
    job: PoolJob,
    task: PoolTask,
    session: WorkerSession,
): void => {
    const waitedMs = task.placedAt - job.receivedAt;
    metrics.observe("anvilmux_placement_wait_ms", {}, waitedMs);
    logger.info("task placed", {
        job: job.request.id,
        task: task.request.name,
        run: task.lastRun,
        worker: session.id,
        freeMillicores: session.free.millicores,
        waitedMs: Math.round(waitedMs),
    });
};

export const logRunEnd = (
    { clock, logger }: PoolLog,
    job: PoolJob,
    task: PoolTask,
    run: Run,
    outcome: RunOutcome,
): void =>
    logger.info("run ended without success", {
        job: job.request.id,
        task: run.task,
        run: run.run,
        worker: task.session?.id,
        outcome,
        ranMs: Math.round(clock.now() - task.placedAt),
        failures: task.failures + (outcome === "failed" ? 1 : 0),
    });

export const logStandstill = (
    { clock, metrics, logger }: PoolLog,
    session: WorkerSession,
    run: Run,
    percent: number,
): void => {
    metrics.count("anvilmux_standstills_total");
    logger.warn("run makes no progress and is stopped", {
        task: run.task,
        run: run.run,
        worker: session.id,
        percent,
        ranMs: Math.round(clock.now() - run.orderedAt),
    });
};

export const logGivenUp = ({ clock, logger }: PoolLog, job: PoolJob, seen: SeenRoom): void =>
    logger.info("job given up", {
        job: job.request.id,
        started: job.started,
        tasks: job.tasks.length,
        overdueMs: Math.round(clock.now() - job.startBy),
        ...seen,
    });
