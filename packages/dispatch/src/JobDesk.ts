/**
 * The jobs whose callers wait at this entry. Each is handed to the owner of the zone's workers, and handed on to the
 * next owner when that one is lost.
 */

import type { Clock, JobId, Milliseconds, Timers, Unsubscribe } from "@anvilmux/common";
import type { Logger, Metrics } from "@anvilmux/telemetry";
import { ownerlessPatienceMs, poolTickMs, refusalRetryMs } from "./constants";
import type { JobAnswer, JobRequest } from "./types";

/** The owner of the zone's workers, as this entry reaches it. */
export interface OwnerLink {
    readonly id: string;
    /** False when the owner cannot be reached now. */
    readonly submit: (request: JobRequest) => boolean;
    readonly cancel: (id: JobId) => void;
}

export interface JobDeskOptions {
    readonly getOwner: () => OwnerLink | undefined;
    readonly clock: Clock;
    readonly timers: Timers;
    readonly logger: Logger;
    readonly metrics: Metrics;
}

interface OpenJob {
    readonly request: JobRequest;
    readonly arrivedAt: Milliseconds;
    /** Callers that wait; a caller that sends its job again waits beside itself. */
    readonly waiters: Set<(answer: JobAnswer) => void>;
    ownerId: string | undefined;
    everSubmitted: boolean;
    mayRunElsewhere: boolean;
}

export class JobDesk {
    private readonly jobs = new Map<JobId, OpenJob>();
    private readonly unsubscribe: Unsubscribe;

    constructor(private readonly options: JobDeskOptions) {
        this.unsubscribe = options.timers.every(poolTickMs, () => this.tick());
    }

    get openJobs(): number {
        return this.jobs.size;
    }

    /** Answers every caller that still waits, as the instance ends. */
    stop(): void {
        this.unsubscribe();
        for (const job of [...this.jobs.values()]) {
            this.cancelAtOwner(job);
            this.answer(job, this.getLateAnswer(job, "the entry ends"));
        }
    }

    /** Takes a job for a caller; the returned function tells that the caller is gone. */
    accept(request: JobRequest, waiter: (answer: JobAnswer) => void): () => void {
        let job = this.jobs.get(request.id);
        if (!job) {
            job = {
                request,
                arrivedAt: this.options.clock.now(),
                waiters: new Set(),
                ownerId: undefined,
                everSubmitted: false,
                mayRunElsewhere: false,
            };
            this.jobs.set(request.id, job);
        }
        job.waiters.add(waiter);
        this.hand(job);
        return () => this.abandon(request.id, waiter);
    }

    /** Takes note of the answer of an owner. */
    noteAnswer(ownerId: string, id: JobId, answer: JobAnswer): void {
        const job = this.jobs.get(id);
        if (!job || job.ownerId !== ownerId) {
            return;
        }
        this.answer(job, answer);
    }

    /**
     * Takes note that an owner is about to hand tasks of the job to another zone, or that none is there any more. False
     * when the job is not with that owner; it must not hand anything over then.
     */
    noteElsewhere(ownerId: string, id: JobId, isElsewhere: boolean): boolean {
        const job = this.jobs.get(id);
        if (job?.ownerId !== ownerId) {
            return false;
        }
        job.mayRunElsewhere = isElsewhere;
        return true;
    }

    /** Hands all open jobs to the owner that is in charge now. */
    noteOwnerChange(): void {
        this.jobs.forEach(job => this.hand(job));
    }

    /** Forgets that jobs are with an owner whose connection was lost, so that they are handed over again. */
    noteOwnerLost(ownerId: string): void {
        for (const job of this.jobs.values()) {
            if (job.ownerId === ownerId) {
                job.ownerId = undefined;
            }
        }
        this.noteOwnerChange();
    }

    private hand(job: OpenJob): void {
        const owner = this.options.getOwner();
        if (!owner || job.ownerId === owner.id) {
            return;
        }
        const elapsed = this.options.clock.now() - job.arrivedAt;
        const request: JobRequest = {
            ...job.request,
            resubmitted: job.everSubmitted,
            mayRunElsewhere: job.mayRunElsewhere,
            objectiveMs: job.request.objectiveMs - elapsed,
            remainingMs: job.request.remainingMs - elapsed,
        };
        // Set first: an owner in this process may answer at once.
        job.ownerId = owner.id;
        job.everSubmitted = true;
        if (!owner.submit(request)) {
            job.ownerId = undefined;
        }
    }

    private abandon(id: JobId, waiter: (answer: JobAnswer) => void): void {
        const job = this.jobs.get(id);
        if (!job?.waiters.delete(waiter) || job.waiters.size > 0) {
            return;
        }
        this.jobs.delete(id);
        this.options.logger.info("caller gone", { job: id });
        this.cancelAtOwner(job);
    }

    private cancelAtOwner(job: OpenJob): void {
        const owner = this.options.getOwner();
        if (owner && job.ownerId === owner.id) {
            owner.cancel(job.request.id);
        }
    }

    private answer(job: OpenJob, answer: JobAnswer): void {
        this.jobs.delete(job.request.id);
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
                this.cancelAtOwner(job);
                this.answer(job, this.getLateAnswer(job, "the caller's deadline has passed"));
            }
            else if (job.ownerId === undefined && age > ownerlessPatienceMs && !job.everSubmitted) {
                this.answer(job, this.getLateAnswer(job, "the zone's workers have no owner now"));
            }
            else if (job.ownerId === undefined) {
                this.hand(job);
            }
        }
    }

    private getLateAnswer(job: OpenJob, reason: string): JobAnswer {
        return job.everSubmitted
            ? { kind: "unknown", reason }
            : { kind: "refused", reason, retryAfterMs: refusalRetryMs };
    }
}
