/**
 * Jobs submitted to this instance. A job is checked, claimed once, split over the owners of the zone's workers and
 * assembled from the completions of its tasks; a finished job is retained for a while. It is complete only when every
 * task was answered, and failed otherwise.
 */

import { getErrorMessage, newDeferred, newRandomId, toJobId } from "@anvilmux/common";
import type { Address, Clock, Deferred, JobId, Milliseconds, Timers, Unsubscribe } from "@anvilmux/common";
import type { Manifest } from "@anvilmux/manifest";
import type { RunTasksRequest, TaskReport } from "@anvilmux/protocol";
import { RunTasksRequestSchema, TaskDescriptionSchema } from "@anvilmux/protocol";
import type { DecisionLog, Logger, Metrics } from "@anvilmux/telemetry";
import type { PeerClient } from "@anvilmux/transport";
import { create } from "@bufbuild/protobuf";
import { finishedJobRetentionMs, maximumFinishedJobs } from "./constants";
import { JobError } from "./errors";
import { canRun, checkRunnable } from "./runnable";
import { fromTaskReport, newUnknownCompletion } from "./taskMessages";
import type { TaskPool } from "./TaskPool";
import type { JobDocument, JobState, Submission, TaskCompletion, TaskSpecification, WorkerOwner } from "./types";

export interface JobManagerOptions {
    readonly instanceId: string;
    readonly clock: Clock;
    readonly timers: Timers;
    readonly logger: Logger;
    readonly metrics: Metrics;
    readonly decisions: DecisionLog;
    readonly pool: TaskPool;
    readonly getManifest: () => Manifest | undefined;
    readonly getOwners: () => readonly WorkerOwner[];
    readonly connect: (address: Address) => PeerClient;
    readonly isSettled: () => boolean;
}

interface HeldJob {
    readonly id: JobId;
    readonly team: string;
    readonly submission: Submission;
    readonly completions: Map<string, TaskCompletion>;
    /** Ids of the tasks that have not completed. */
    readonly unfinished: Set<string>;
    readonly finished: Deferred<void>;
    readonly owners: Set<Address>;
    state: JobState;
    finishedAt: Milliseconds;
    cancelled: boolean;
}

const cleanUpPeriodMs = 1_000;

export class JobManager {
    private readonly jobs = new Map<JobId, HeldJob>();
    private readonly unsubscribe: Unsubscribe;

    constructor(private readonly options: JobManagerOptions) {
        this.unsubscribe = options.timers.every(cleanUpPeriodMs, () => this.evictFinishedJobs());
    }

    get runningJobs(): number {
        return [...this.jobs.values()].filter(job => job.state === "running").length;
    }

    /** A new id that contains the id of the instance that holds the job. */
    newJobId(): JobId {
        return toJobId(`${this.options.instanceId}.${newRandomId()}`);
    }

    /** Starts a job whose submission was checked and claimed. Throws `JobError` when it cannot run. */
    start(id: JobId, team: string, submission: Submission): void {
        const manifest = this.options.getManifest();
        const owners = this.options.getOwners().filter(owner => owner.workers.length > 0);
        checkRunnable(submission, team, manifest, owners, this.options.isSettled());
        const job: HeldJob = {
            id,
            team,
            submission,
            completions: new Map(),
            unfinished: new Set(submission.tasks.map(task => task.id)),
            finished: newDeferred<void>(),
            owners: new Set(owners.map(owner => owner.address)),
            state: "running",
            finishedAt: 0,
            cancelled: false,
        };
        this.jobs.set(id, job);
        this.options.metrics.count("anvilmux_jobs_total");
        const remaining = submission.deadlineMs ?? manifest?.jobs.deadlineMs ?? 60_000;
        for (const [owner, tasks] of splitTasks(submission.tasks, owners)) {
            this.options.decisions.add(id, `${tasks.length} tasks go to ${owner.instanceId}`);
            void this.runAtOwner(job, owner, tasks, remaining);
        }
    }

    /** The job as callers see it, after waiting up to `wait` for it to finish; undefined when it is not held here. */
    async fetch(id: JobId, team: string, wait: Milliseconds): Promise<JobDocument | undefined> {
        const job = this.jobs.get(id);
        if (!job || job.team !== team) {
            return undefined;
        }
        if (job.state === "running" && wait > 0) {
            const timeout = newDeferred<void>();
            const unsubscribe = this.options.timers.after(wait, () => timeout.resolve());
            await Promise.race([job.finished.promise, timeout.promise]);
            unsubscribe();
        }
        return toDocument(job);
    }

    /** Cancels a job; once every owner has confirmed, none of its tasks can start. */
    async cancel(id: JobId, team: string): Promise<JobDocument | undefined> {
        const job = this.jobs.get(id);
        if (!job || job.team !== team) {
            return undefined;
        }
        if (job.state === "running" && !job.cancelled) {
            job.cancelled = true;
            this.options.decisions.add(id, "cancelled");
            const delivered = await Promise.all([...job.owners].map(address => this.cancelAtOwner(job, address)));
            if (delivered.includes(false)) {
                job.cancelled = false;
                throw new JobError("cancel-not-delivered", `an owner of the tasks of job "${id}" does not answer`);
            }
        }
        return toDocument(job);
    }

    stop(): void {
        this.unsubscribe();
    }

    /** False when the owner cannot be reached, so that it may still start tasks. */
    private async cancelAtOwner(job: HeldJob, address: Address): Promise<boolean> {
        const owner = this.options.getOwners().find(candidate => candidate.address === address);
        if (owner?.instanceId === this.options.instanceId) {
            this.options.pool.cancelJob(job.id);
            return true;
        }
        try {
            await this.options.connect(address).cancelTasks({ jobId: job.id }, { timeoutMs: 1_000 });
            return true;
        }
        catch (error) {
            this.options.logger.warn("cancel not delivered", {
                jobId: job.id,
                address,
                reason: getErrorMessage(error),
            });
            return false;
        }
    }

    /** Has an owner run tasks and records the completion of each. */
    private async runAtOwner(
        job: HeldJob,
        owner: WorkerOwner,
        tasks: readonly TaskSpecification[],
        remaining: Milliseconds,
    ): Promise<void> {
        if (owner.instanceId === this.options.instanceId) {
            const now = this.options.clock.now();
            tasks.forEach(specification =>
                this.options.pool.submit({
                    jobId: job.id,
                    team: job.team,
                    urgent: job.submission.urgent,
                    specification,
                    enqueuedAt: now,
                    deadline: now + remaining,
                    report: completion => this.recordCompletion(job, completion),
                })
            );
            this.options.pool.serve();
            return;
        }
        let reason = "the owner's answer ended early";
        try {
            const request = newRunTasksRequest(job, tasks, remaining);
            for await (const report of this.options.connect(owner.address).runTasks(request)) {
                this.handleReport(job, report);
            }
        }
        catch (error) {
            reason = `owner ${owner.instanceId}: ${getErrorMessage(error)}`;
        }
        tasks.forEach(task => this.recordCompletion(job, newUnknownCompletion(task.id, reason)));
    }

    private handleReport(job: HeldJob, report: TaskReport): void {
        this.recordCompletion(job, fromTaskReport(report));
    }

    /** Records the first completion of a task; later ones are ignored. */
    private recordCompletion(job: HeldJob, completion: TaskCompletion): void {
        if (!job.unfinished.delete(completion.taskId)) {
            return;
        }
        job.completions.set(completion.taskId, completion);
        if (completion.outcome !== "answered") {
            this.options.decisions.add(
                job.id,
                `task ${completion.taskId}: ${completion.outcome}, ${completion.reason}`,
            );
        }
        if (job.unfinished.size > 0) {
            return;
        }
        const isComplete = !job.cancelled && [...job.completions.values()].every(item => item.outcome === "answered");
        job.state = isComplete ? "complete" : "failed";
        job.finishedAt = this.options.clock.now();
        this.options.metrics.count("anvilmux_jobs_finished_total", { state: job.state });
        this.options.decisions.add(job.id, `job ${job.state}`);
        job.finished.resolve();
    }

    private evictFinishedJobs(): void {
        const now = this.options.clock.now();
        const finished = [...this.jobs.values()].filter(job => job.state !== "running");
        finished.sort((left, right) => left.finishedAt - right.finishedAt);
        const surplus = Math.max(0, finished.length - maximumFinishedJobs);
        finished.forEach((job, position) => {
            if (position < surplus || now - job.finishedAt > finishedJobRetentionMs) {
                this.jobs.delete(job.id);
            }
        });
    }
}

/** The instance that holds a job; undefined for a malformed id. */
export const getInstanceOfJob = (id: string): string | undefined => {
    const end = id.lastIndexOf(".");
    return end > 0 ? id.slice(0, end) : undefined;
};

/** Divides tasks in proportion to the owners' processors, considering only owners with a large enough worker. */
export const splitTasks = (
    tasks: readonly TaskSpecification[],
    owners: readonly WorkerOwner[],
): ReadonlyMap<WorkerOwner, readonly TaskSpecification[]> => {
    const shares = owners.map(owner => ({
        owner,
        processors: owner.workers.reduce((sum, worker) => sum + worker.processors, 0),
        assigned: 0,
        tasks: [] as TaskSpecification[],
    }));
    for (const task of tasks) {
        const fitting = shares.filter(share => share.owner.workers.some(worker => canRun(worker, task)));
        const next = fitting.reduce((best, share) =>
            share.assigned / share.processors < best.assigned / best.processors ? share : best
        );
        next.assigned += task.processors;
        next.tasks.push(task);
    }
    return new Map(shares.filter(share => share.tasks.length > 0).map(share => [share.owner, share.tasks]));
};

const newRunTasksRequest = (
    job: HeldJob,
    tasks: readonly TaskSpecification[],
    remainingMs: Milliseconds,
): RunTasksRequest =>
    create(RunTasksRequestSchema, {
        jobId: job.id,
        team: job.team,
        urgent: job.submission.urgent,
        remainingMs,
        tasks: tasks.map(task =>
            create(TaskDescriptionSchema, {
                taskId: task.id,
                kind: task.kind,
                processors: task.processors,
                memoryMebibytes: task.memoryMebibytes,
                accelerators: task.accelerators,
                declaredRunMs: task.declaredRunMs,
                payload: task.payload,
            })
        ),
    });

const toDocument = (job: HeldJob): JobDocument => ({
    jobId: job.id,
    state: job.state,
    outcome: getJobOutcome(job),
    finishedTasks: job.completions.size,
    totalTasks: job.submission.tasks.length,
    ...(job.state === "complete"
        ? { results: Object.fromEntries([...job.completions].map(([id, completion]) => [id, completion.result])) }
        : {}),
    tasks: job.submission.tasks.map(task => {
        const completion = job.completions.get(task.id);
        return { id: task.id, outcome: completion?.outcome ?? "pending", reason: completion?.reason ?? "" };
    }),
});

/** "not-run" only when no task of a failed job ran. */
const getJobOutcome = (job: HeldJob): JobDocument["outcome"] => {
    switch (job.state) {
        case "running":
            return "pending";
        case "complete":
            return "answered";
        case "failed":
            return [...job.completions.values()].every(completion => completion.outcome === "not-run")
                ? "not-run"
                : "unknown";
    }
};
