/**
 * The jobs whose callers wait at this entry. Each is submitted to the owner of the zone's workers, and resubmitted when
 * the owner changes or is disconnected. Callers always get an answer: without one from an owner it is `unknown` when
 * tasks may have run, and `refused` otherwise.
 */

import type { Clock, JobId, Milliseconds, Timers, Unsubscribe } from "@anvilmux/common";
import type { Logger, Metrics } from "@anvilmux/telemetry";
import { ownerlessTimeoutMs, refusalRetryMs, schedulerTickMs } from "./constants";
import { getRequestBytes, holdUnlimited } from "./jobSize";
import type { HoldMemory } from "./jobSize";
import type { JobAnswer, JobRequest } from "./types";

/** Calls from this entry to an owner of the zone's workers; they remain valid when it is the owner no longer. */
export interface OwnerLink {
    readonly id: string;
    /** False while the owner is unreachable. What the owner reports on the job names the number `submission`. */
    readonly submit: (request: JobRequest, submission: number) => boolean;
    readonly cancel: (id: JobId) => void;
    /** The job goes to another owner: it starts no more tasks of it until the job is submitted to it again. */
    readonly withdraw: (id: JobId) => void;
}

export interface PendingJobsOptions {
    readonly getOwner: () => OwnerLink | undefined;
    /** The highest claim on the zone's workers that this entry has seen. */
    readonly getHighestClaim: () => number;
    /** Memory for jobs; unlimited when absent. */
    readonly holdMemory?: HoldMemory | undefined;
    readonly clock: Clock;
    readonly timers: Timers;
    readonly logger: Logger;
    readonly metrics: Metrics;
}

interface PendingJob {
    readonly request: JobRequest;
    readonly arrivedAt: Milliseconds;
    /** Waiting callers; a caller that resubmits its job is added once more. */
    readonly waiters: Set<(answer: JobAnswer) => void>;
    ownerId: string | undefined;
    /** Number of the latest submission to an owner, which differs from those of all other submissions of this entry. */
    submission: number;
    /** All owners to which it was submitted, by id. */
    readonly owners: Map<string, OwnerLink>;
    mayRunElsewhere: boolean;
    readonly releaseMemory: () => void;
}

export class PendingJobs {
    private readonly jobs = new Map<JobId, PendingJob>();
    /** Cancels the periodic check, which runs only while a caller waits. */
    private cancelCheck: Unsubscribe | undefined;
    private submissionCount = 0;

    constructor(private readonly options: PendingJobsOptions) {}

    get openJobs(): number {
        return this.jobs.size;
    }

    has(id: JobId): boolean {
        return this.jobs.has(id);
    }

    /** True while a job is submitted to that owner. */
    hasJobsAt(ownerId: string): boolean {
        for (const job of this.jobs.values()) {
            if (job.ownerId === ownerId) {
                return true;
            }
        }
        return false;
    }

    /** Answers every caller that still waits, as the instance shuts down. */
    stop(): void {
        this.cancelCheck?.();
        for (const job of [...this.jobs.values()]) {
            this.cancelAtOwners(job);
            this.answer(job, this.getUnfinishedAnswer(job, "the entry ends"));
        }
    }

    /** Accepts a job for a caller, or refuses it at once; call the returned function when the caller disconnects. */
    accept(request: JobRequest, waiter: (answer: JobAnswer) => void): () => void {
        const job = this.jobs.get(request.id) ?? this.add(request);
        if (typeof job === "string") {
            this.refuse(request, job, waiter);
            return () => undefined;
        }
        this.cancelCheck ??= this.options.timers.every(schedulerTickMs, () => this.tick());
        job.waiters.add(waiter);
        this.submitToOwner(job);
        return () => this.removeWaiter(request.id, waiter);
    }

    /**
     * Passes an owner's answer to the callers; ignored unless it answers the latest submission of the job to that
     * owner. A job can be with an owner again, after another owner had it or for another caller, while an answer to an
     * earlier submission is still on its way.
     */
    handleAnswer(ownerId: string, id: JobId, answer: JobAnswer, submission: number | undefined): void {
        const job = this.findSubmitted(ownerId, id, submission);
        if (job) {
            this.cancelAtOwners(job, ownerId);
            this.answer(job, answer);
        }
    }

    /**
     * Records that an owner is about to forward tasks of the job to another zone, or that none of them is in another
     * zone any longer. False unless it reports on the latest submission of the job to that owner, which must then not
     * forward any.
     */
    markRemoteTasks(
        ownerId: string,
        id: JobId,
        hasRemoteTasks: boolean,
        submission: number | undefined,
    ): boolean {
        const job = this.findSubmitted(ownerId, id, submission);
        if (!job) {
            return false;
        }
        job.mayRunElsewhere = hasRemoteTasks;
        return true;
    }

    /** Submits all open jobs to the current owner. */
    handleOwnerChange(): void {
        this.jobs.forEach(job => this.submitToOwner(job));
    }

    /** Resubmits the jobs that were with a disconnected owner. */
    handleOwnerDisconnected(ownerId: string): void {
        for (const job of this.jobs.values()) {
            if (job.ownerId === ownerId) {
                job.ownerId = undefined;
            }
        }
        this.handleOwnerChange();
    }

    /** Adds a job that is not known here; why it is refused instead. */
    private add(request: JobRequest): PendingJob | string {
        const { holdMemory = holdUnlimited, clock } = this.options;
        const { payload, tasks } = request;
        const bytes = getRequestBytes({ payloadCharacters: payload.length, taskCount: tasks.length });
        const releaseMemory = holdMemory(bytes);
        if (!releaseMemory) {
            return "the memory for jobs is used up";
        }
        const job: PendingJob = {
            request,
            arrivedAt: clock.now(),
            waiters: new Set(),
            ownerId: undefined,
            submission: 0,
            owners: new Map(),
            mayRunElsewhere: false,
            releaseMemory,
        };
        this.jobs.set(request.id, job);
        return job;
    }

    private refuse({ id, queue, tasks }: JobRequest, reason: string, waiter: (answer: JobAnswer) => void): void {
        this.options.metrics.count("anvilmux_jobs_total", { queue, answer: "refused" });
        this.options.logger.info("job refused at arrival", { job: id, queue, reason, tasks: tasks.length });
        waiter({ kind: "refused", reason, retryAfterMs: refusalRetryMs });
    }

    /** An owner of an earlier release names no submission. */
    private findSubmitted(ownerId: string, id: JobId, submission: number | undefined): PendingJob | undefined {
        const job = this.jobs.get(id);
        const isLatest = submission === undefined || job?.submission === submission;
        return job?.ownerId === ownerId && isLatest ? job : undefined;
    }

    private submitToOwner(job: PendingJob): void {
        const owner = this.options.getOwner();
        if (!owner || job.ownerId === owner.id) {
            return;
        }
        const elapsed = this.options.clock.now() - job.arrivedAt;
        const request: JobRequest = {
            ...job.request,
            resubmitted: job.owners.size > 0,
            hadOtherOwner: [...job.owners.keys()].some(id => id !== owner.id),
            highestClaim: this.options.getHighestClaim(),
            mayRunElsewhere: job.mayRunElsewhere,
            objectiveMs: job.request.objectiveMs - elapsed,
            remainingMs: job.request.remainingMs - elapsed,
        };
        if (job.ownerId !== undefined) {
            job.owners.get(job.ownerId)?.withdraw(job.request.id);
        }
        // Set before submitting: an owner in this process may answer at once.
        job.ownerId = owner.id;
        job.owners.set(owner.id, owner);
        this.submissionCount += 1;
        job.submission = this.submissionCount;
        if (!owner.submit(request, job.submission)) {
            job.ownerId = undefined;
        }
    }

    private removeWaiter(id: JobId, waiter: (answer: JobAnswer) => void): void {
        const job = this.jobs.get(id);
        if (!job?.waiters.delete(waiter) || job.waiters.size > 0) {
            return;
        }
        this.jobs.delete(id);
        job.releaseMemory();
        this.options.logger.info("caller disconnected", {
            job: id,
            owners: job.owners.size,
            ageMs: Math.round(this.options.clock.now() - job.arrivedAt),
        });
        this.cancelAtOwners(job);
    }

    /** Cancels a job that has ended here at the owners to which it was submitted, except the one that answered it. */
    private cancelAtOwners(job: PendingJob, answeringOwnerId?: string): void {
        for (const owner of job.owners.values()) {
            if (owner.id !== answeringOwnerId) {
                owner.cancel(job.request.id);
            }
        }
    }

    private answer(job: PendingJob, answer: JobAnswer): void {
        this.jobs.delete(job.request.id);
        job.releaseMemory();
        const elapsed = this.options.clock.now() - job.arrivedAt;
        this.options.metrics.observe("anvilmux_job_answer_ms", { answer: answer.kind }, elapsed);
        this.options.metrics.count("anvilmux_jobs_total", { queue: job.request.queue, answer: answer.kind });
        this.options.logger.info("job answered", {
            job: job.request.id,
            queue: job.request.queue,
            answer: answer.kind,
            reason: answer.kind === "completed" ? "" : answer.reason,
            owner: job.ownerId,
            tasks: job.request.tasks.length,
            ageMs: Math.round(elapsed),
            objectiveMs: Math.round(job.request.objectiveMs),
        });
        job.waiters.forEach(waiter => waiter(answer));
    }

    private tick(): void {
        const now = this.options.clock.now();
        for (const job of [...this.jobs.values()]) {
            const age = now - job.arrivedAt;
            if (age > job.request.remainingMs) {
                this.cancelAtOwners(job);
                this.answer(job, this.getUnfinishedAnswer(job, "the caller's deadline has passed"));
            }
            else if (job.ownerId === undefined && age > ownerlessTimeoutMs && job.owners.size === 0) {
                this.answer(job, this.getUnfinishedAnswer(job, "the zone's workers have no owner now"));
            }
            else if (job.ownerId === undefined) {
                this.submitToOwner(job);
            }
        }
        if (this.jobs.size === 0) {
            this.cancelCheck?.();
            this.cancelCheck = undefined;
        }
    }

    private getUnfinishedAnswer(job: PendingJob, reason: string): JobAnswer {
        return job.owners.size > 0
            ? { kind: "unknown", reason }
            : { kind: "refused", reason, retryAfterMs: refusalRetryMs };
    }
}
