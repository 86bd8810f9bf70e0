/**
 * All workers of a zone and the jobs that wait for them, in the hands of one owner: one queue, one view of the room.
 * A task starts again only when its earlier run has certainly ended.
 */

import type { JobId, Milliseconds, Unsubscribe } from "@anvilmux/common";
import { maximumPassedOver, orphanGraceMs, poolTickMs, refusalRetryMs, takeoverUncertaintyMs } from "./constants";
import { EndedJobs } from "./EndedJobs";
import { insertInOrder } from "./jobOrder";
import { OwnedWorkers } from "./OwnedWorkers";
import type { OwnedWorkersOptions } from "./OwnedWorkers";
import { newPoolJob } from "./PoolJob";
import type { PoolJob, PoolTask } from "./PoolJob";
import { getFirstRun } from "./runNumbers";
import type { Run, RunOutcome } from "./RunTable";
import type { JobAnswer, JobRequest, TaskName, WorkerAnnouncement } from "./types";
import type { WorkerSession } from "./WorkerSession";

export type PoolOptions = Omit<OwnedWorkersOptions, "onEnd" | "onFound" | "onChange">;

export class Pool {
    private readonly workers: OwnedWorkers;
    /** Where a run of a task is, or may be, alive. */
    private readonly liveRuns = new Map<TaskName, WorkerSession>();
    private readonly jobs = new Map<JobId, PoolJob>();
    private readonly tasks = new Map<TaskName, { readonly job: PoolJob; readonly task: PoolTask; }>();
    /** Jobs with waiting tasks, in the order in which they are served. */
    private queue: PoolJob[] = [];
    private readonly ended: EndedJobs;
    private servePlanned = false;
    private closed = false;
    private readonly startedAt: Milliseconds;
    private readonly unsubscribe: Unsubscribe;

    constructor(private readonly options: PoolOptions) {
        this.startedAt = options.clock.now();
        this.ended = new EndedJobs(options.clock);
        this.workers = new OwnedWorkers({
            ...options,
            onEnd: (session, run, outcome) => this.noteEnd(session, run, outcome),
            onFound: (session, run) => this.noteFound(session, run),
            onChange: () => this.planServe(),
        });
        this.unsubscribe = options.timers.every(poolTickMs, () => this.tick());
    }

    get openJobs(): number {
        return this.jobs.size;
    }

    get waitingJobs(): number {
        return this.queue.length;
    }

    /** Takes a worker over, or takes note of what it says of itself now. */
    setWorker(announcement: WorkerAnnouncement): void {
        this.workers.set(announcement);
    }

    /** Takes a job; its answer is reported once. A job that is here already is handed to the new home. */
    submit(request: JobRequest, home: string, report: (answer: JobAnswer) => void): void {
        const ended = this.ended.get(request.id);
        if (ended) {
            report(ended);
            return;
        }
        const present = this.jobs.get(request.id);
        if (present) {
            present.home = home;
            present.report = report;
            return;
        }
        const now = this.options.clock.now();
        const uncertainUntil = request.resubmitted ? this.startedAt + takeoverUncertaintyMs : 0;
        const job = newPoolJob(request, home, now, uncertainUntil, report);
        const obstacle = this.workers.findLastingObstacle(request);
        if (obstacle !== undefined) {
            this.answer(job, { kind: "failed", reason: obstacle });
            return;
        }
        this.jobs.set(request.id, job);
        for (const task of job.tasks) {
            this.tasks.set(task.request.name, { job, task });
            this.adopt(job, task);
        }
        if (job.waiting > 0) {
            insertInOrder(this.queue, job);
        }
        this.planServe();
    }

    /** Ends a job that nobody waits for any more; its runs are stopped. */
    cancel(id: JobId, home: string, reason: string): void {
        const job = this.jobs.get(id);
        if (job?.home === home) {
            this.close(job, reason);
        }
    }

    /** Ends the jobs of a home that is gone, unless they came back through another home in the meantime. */
    noteHomeLost(home: string): void {
        this.options.timers.after(orphanGraceMs, () => {
            for (const job of [...this.jobs.values()]) {
                if (job.home === home) {
                    this.close(job, "its entry is gone");
                }
            }
        });
    }

    /** Gives all workers up without touching what runs there; the next owner finds it. */
    stop(): void {
        this.closed = true;
        this.unsubscribe();
        this.workers.close();
    }

    /** Takes over a run of the task that goes on already. */
    private adopt(job: PoolJob, task: PoolTask): void {
        const session = this.liveRuns.get(task.request.name);
        const run = session?.getRun(task.request.name);
        if (!session || !run || run.stopOrderedAt !== undefined || task.state !== "waiting") {
            return;
        }
        session.setNeeds(run, task.request);
        task.state = "placed";
        task.session = session;
        task.lastRun = run.run;
        task.placedAt = run.orderedAt;
        job.waiting -= 1;
        job.started += 1;
        this.options.logger.info("run adopted", { job: job.request.id, task: run.task, run: run.run });
    }

    private planServe(): void {
        if (!this.servePlanned && !this.closed) {
            this.servePlanned = true;
            setImmediate(() => {
                this.servePlanned = false;
                this.serve();
            });
        }
    }

    /** Places waiting tasks in order, as far as there is room. */
    private serve(): void {
        if (this.closed) {
            return;
        }
        let passedOver = 0;
        for (const job of this.queue) {
            if (passedOver >= maximumPassedOver) {
                break;
            }
            passedOver += this.placeTasks(job) ? 0 : 1;
        }
        this.queue = this.queue.filter(job => !job.closed && job.waiting > 0);
    }

    /** True when no task of the job has to go on waiting. */
    private placeTasks(job: PoolJob): boolean {
        if (this.options.clock.now() < job.uncertainUntil && !this.workers.areAllListed()) {
            return false;
        }
        for (const task of job.tasks) {
            if (task.state === "waiting" && !this.tryToPlace(job, task)) {
                return false;
            }
        }
        return true;
    }

    private tryToPlace(job: PoolJob, task: PoolTask): boolean {
        const { request } = task;
        if (this.liveRuns.has(request.name)) {
            return false;
        }
        const session = this.workers.choose(job.request.service, request, task.avoided);
        if (!session) {
            return false;
        }
        const run = Math.max(task.lastRun + 1, getFirstRun(this.options.clock.wallNow()));
        task.lastRun = run;
        task.state = "placed";
        task.session = session;
        task.placedAt = this.options.clock.now();
        job.waiting -= 1;
        job.started += 1;
        this.liveRuns.set(request.name, session);
        this.options.metrics.observe("anvilmux_placement_wait_ms", {}, task.placedAt - job.receivedAt);
        this.options.logger.info("task placed", {
            job: job.request.id,
            task: request.name,
            run,
            worker: session.id,
            freeMillicores: session.free.millicores,
            waitedMs: Math.round(task.placedAt - job.receivedAt),
        });
        session.start(request.name, run, job.request.payload, request);
        return true;
    }

    private noteFound(session: WorkerSession, run: Run): void {
        this.liveRuns.set(run.task, session);
        const owner = this.tasks.get(run.task);
        if (owner) {
            this.adopt(owner.job, owner.task);
            this.queue = this.queue.filter(job => job.waiting > 0);
            return;
        }
        this.options.timers.after(orphanGraceMs, () => {
            if (!this.tasks.has(run.task) && session.getRun(run.task) === run) {
                this.options.logger.info("run without a job is stopped", { task: run.task, run: run.run });
                session.stop(run.task);
            }
        });
    }

    private noteEnd(session: WorkerSession, run: Run, outcome: RunOutcome): void {
        if (this.liveRuns.get(run.task) === session) {
            this.liveRuns.delete(run.task);
        }
        const owner = this.tasks.get(run.task);
        if (owner && owner.task.session === session && owner.task.state === "placed") {
            this.noteTaskEnd(owner.job, owner.task, session, run, outcome);
        }
        this.planServe();
    }

    private noteTaskEnd(job: PoolJob, task: PoolTask, session: WorkerSession, run: Run, outcome: RunOutcome): void {
        const { metrics, logger, clock } = this.options;
        const ranMs = clock.now() - task.placedAt;
        metrics.count("anvilmux_run_ends_total", { outcome });
        if (outcome !== "done") {
            logger.info("run ended without success", {
                job: job.request.id,
                task: run.task,
                run: run.run,
                worker: session.id,
                outcome,
                ranMs: Math.round(ranMs),
                failures: task.failures + (outcome === "failed" ? 1 : 0),
            });
        }
        task.session = undefined;
        switch (outcome) {
            case "done":
                this.workers.noteDone(session, ranMs / Math.max(1, task.request.estimateMs));
                task.state = "done";
                job.done += 1;
                if (job.done === job.tasks.length) {
                    this.finish(job, { kind: "completed" });
                }
                return;
            case "failed":
                this.noteFailure(job, task, session);
                return;
            case "invalid":
                this.finish(job, { kind: "failed", reason: `the worker cannot read task ${run.task}` });
                return;
            case "refused-old":
                task.lastRun += runsSkippedAfterOld;
                this.waitAgain(job, task);
                return;
            default:
                this.waitAgain(job, task);
        }
    }

    private noteFailure(job: PoolJob, task: PoolTask, session: WorkerSession): void {
        this.workers.noteFailed(session);
        task.failures += 1;
        task.avoided.push(session);
        if (task.failures >= job.request.attempts) {
            this.finish(job, { kind: "failed", reason: `task ${task.request.name} failed ${task.failures} times` });
            return;
        }
        this.waitAgain(job, task);
    }

    private waitAgain(job: PoolJob, task: PoolTask): void {
        task.state = "waiting";
        job.waiting += 1;
        if (!this.queue.includes(job)) {
            insertInOrder(this.queue, job);
        }
    }

    private finish(job: PoolJob, answer: JobAnswer): void {
        if (job.closed) {
            return;
        }
        if (answer.kind === "completed" || answer.kind === "failed") {
            this.ended.remember(job.request.id, answer);
        }
        this.answer(job, answer);
        this.close(job, answer.kind);
    }

    private answer(job: PoolJob, answer: JobAnswer): void {
        this.options.metrics.count("anvilmux_pool_jobs_total", { answer: answer.kind });
        job.report(answer);
    }

    private close(job: PoolJob, reason: string): void {
        job.closed = true;
        this.jobs.delete(job.request.id);
        this.queue = this.queue.filter(candidate => candidate !== job);
        for (const task of job.tasks) {
            this.tasks.delete(task.request.name);
            if (task.state === "placed") {
                task.session?.stop(task.request.name);
            }
        }
        this.options.logger.info("job closed", {
            job: job.request.id,
            reason,
            done: job.done,
            tasks: job.tasks.length,
            ageMs: Math.round(this.options.clock.now() - job.receivedAt),
        });
    }

    /** Gives up on jobs that can no longer be served in time, and tries what waits. */
    private tick(): void {
        const now = this.options.clock.now();
        for (const job of [...this.jobs.values()]) {
            if (now > job.receivedAt + job.request.remainingMs) {
                this.finish(job, this.getLateAnswer(job));
            }
            else if (job.started === 0 && now > job.startBy) {
                this.finish(job, this.getLateAnswer(job));
            }
        }
        if (this.queue.length > 0) {
            this.serve();
        }
    }

    private getLateAnswer(job: PoolJob): JobAnswer {
        return job.started === 0
            ? { kind: "refused", reason: "no room in time", retryAfterMs: refusalRetryMs }
            : { kind: "unknown", reason: "not ended before the caller's deadline" };
    }
}

/** Runs passed over after a worker knew a later one of the task. */
const runsSkippedAfterOld = 64;
