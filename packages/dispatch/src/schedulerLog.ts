/** Log lines and metrics of the scheduler's decisions, with the figures behind them. */

import type { Clock } from "@anvilmux/common";
import type { Logger, Metrics } from "@anvilmux/telemetry";
import type { Run, RunEnd } from "./RunTable";
import type { ScheduledJob, ScheduledTask } from "./ScheduledJob";
import type { WorkerSession } from "./WorkerSession";

export interface SchedulerLogContext {
    readonly clock: Clock;
    readonly logger: Logger;
    readonly metrics: Metrics;
}

/** The capacity that the scheduler knew of when it aborted a job. */
export interface ObservedCapacity {
    readonly waitingJobs: number;
    readonly workers: number;
    readonly usableWorkers: number;
    readonly freeMillicores: number;
    readonly largestGapMillicores: number;
    /** Free processors that other zones reported, as `zone:millicores`. */
    readonly otherZones: string;
}

export const logPlacement = (
    { metrics, logger }: SchedulerLogContext,
    job: ScheduledJob,
    task: ScheduledTask,
    session: WorkerSession,
): void => {
    const waitedMs = task.placedAt - job.receivedAt;
    metrics.observe("anvilmux_placement_wait_ms", {}, waitedMs);
    logger.info("task placed", {
        job: job.request.id,
        task: task.request.name,
        run: task.lastRun,
        worker: session.id,
        submitter: job.submitter.key,
        freeMillicores: session.free.millicores,
        waitedMs: Math.round(waitedMs),
        // Absent for most jobs, which bounds the volume.
        resubmitted: job.request.resubmitted || undefined,
        mayRunElsewhere: job.request.mayRunElsewhere || undefined,
    });
};

export const logUnsuccessfulRun = (
    { clock, logger }: SchedulerLogContext,
    job: ScheduledJob,
    task: ScheduledTask,
    session: WorkerSession,
    run: Run,
    end: RunEnd,
): void =>
    logger.info("run ended without success", {
        job: job.request.id,
        task: run.task,
        run: run.run,
        worker: session.id,
        ...end,
        ranMs: Math.round(clock.now() - task.placedAt),
        failures: task.failures + (end.outcome === "failed" ? 1 : 0),
        ...session.describeRun(run),
    });

/** The end of a run that is not its task's current one; `owner`: the job of the task, if there is one. */
export const logUnassignedRun = (
    { logger }: Pick<SchedulerLogContext, "logger">,
    session: WorkerSession,
    run: Run,
    end: RunEnd,
    owner?: { readonly job: ScheduledJob; readonly task: ScheduledTask; },
): void =>
    logger.info("run ended without success", {
        job: owner?.job.request.id,
        task: run.task,
        run: run.run,
        worker: session.id,
        ...end,
        isAssigned: false,
        taskState: owner?.task.state,
        taskWorker: owner?.task.session?.id,
        ...session.describeRun(run),
    });

export const logCrash = (
    { metrics, logger }: SchedulerLogContext,
    session: WorkerSession,
    runs: readonly Run[],
): void => {
    metrics.count("anvilmux_worker_crashes_total");
    logger.warn("worker crashed; its runs are suspected", {
        worker: session.id,
        runs: runs.length,
        tasks: runs.map(run => run.task).join(" "),
    });
};

export const logInterruption = ({ logger }: SchedulerLogContext, pausedMs: number): void =>
    logger.warn("owner did not run; its workers list their runs again", { pausedMs: Math.round(pausedMs) });

export const logSecondRun = (
    { metrics, logger }: SchedulerLogContext,
    session: WorkerSession,
    run: Run,
    other: WorkerSession,
    stopped: WorkerSession,
): void => {
    metrics.count("anvilmux_second_runs_total");
    logger.error("task may run on two workers; one run is being stopped", {
        task: run.task,
        run: run.run,
        worker: session.id,
        otherRun: other.getRun(run.task)?.run,
        otherState: other.getRun(run.task)?.state,
        otherWorker: other.id,
        stoppedAt: stopped.id,
    });
};

export const logStalledRun = (
    { clock, metrics, logger }: SchedulerLogContext,
    session: WorkerSession,
    run: Run,
    percent: number,
): void => {
    metrics.count("anvilmux_standstills_total");
    logger.warn("run stalled and is being stopped", {
        task: run.task,
        run: run.run,
        worker: session.id,
        percent,
        ranMs: Math.round(clock.now() - run.orderedAt),
    });
};

export const logAbortedJob = (
    { clock, logger }: SchedulerLogContext,
    job: ScheduledJob,
    capacity: ObservedCapacity,
): void =>
    logger.info("job aborted", {
        job: job.request.id,
        started: job.started,
        tasks: job.tasks.length,
        overdueMs: Math.round(clock.now() - job.startBy),
        ...capacity,
    });

export const logClosedJob = ({ clock, logger }: SchedulerLogContext, job: ScheduledJob, reason: string): void =>
    logger.info("job closed", {
        job: job.request.id,
        reason,
        submitter: job.submitter.key,
        done: job.done,
        tasks: job.tasks.length,
        ageMs: Math.round(clock.now() - job.receivedAt),
    });

export const logDoubtedSubmitter = ({ logger }: SchedulerLogContext, job: ScheduledJob): void =>
    logger.info("job may be old; its submitter is asked", { job: job.request.id, submitter: job.submitter.key });

/** `submitterKey`: the connection over which the job was cancelled. */
export const logIgnoredCancel = (
    { logger }: SchedulerLogContext,
    job: ScheduledJob,
    submitterKey: string,
): void =>
    logger.info("cancel ignored, as the job has another submitter", {
        job: job.request.id,
        submitter: job.submitter.key,
        cancelledBy: submitterKey,
    });
