/**
 * All workers of a zone and the jobs that wait for them, in the hands of one owner: one queue, one view of the room.
 * A task starts again only when its earlier run has certainly ended.
 */

import type { JobId, Milliseconds, Unsubscribe } from "@anvilmux/common";
import { maximumPassedOver, orphanGraceMs, poolTickMs, spilledGraceMs } from "./constants";
import { EndedJobs } from "./EndedJobs";
import { JobTable } from "./JobTable";
import { OwnedWorkers } from "./OwnedWorkers";
import type { OwnedWorkersOptions } from "./OwnedWorkers";
import { isHopeless, isUncertain, newGivenUpAnswer } from "./patience";
import type { PoolView } from "./patience";
import { getUncertaintyEnd, newPoolJob, placeTask } from "./PoolJob";
import type { PoolJob, PoolTask, TaskEvents } from "./PoolJob";
import { logGivenUp, logPlacement, logStandstill } from "./poolLog";
import { RunEnds } from "./RunEnds";
import { getFirstRun } from "./runNumbers";
import type { Run, RunOutcome } from "./RunTable";
import { hasSameTasks } from "./spill";
import { TaskSpiller } from "./TaskSpiller";
import type { TaskSpillerOptions } from "./TaskSpiller";
import type { FreeRoom, JobAnswer, JobHome, JobRequest, TaskName, WorkerAnnouncement } from "./types";
import type { WorkerSession } from "./WorkerSession";

export type PoolOptions =
    & Omit<OwnedWorkersOptions, "onEnd" | "onFound" | "onStandstill" | "onChange">
    & TaskSpillerOptions;

export class Pool {
    private readonly workers: OwnedWorkers;
    /** Where a run of a task is, or may be, alive. */
    private readonly liveRuns = new Map<TaskName, WorkerSession>();
    private readonly jobs = new JobTable();
    private readonly ended: EndedJobs;
    private readonly spiller: TaskSpiller;
    private readonly runEnds: RunEnds;
    private servePlanned = false;
    private closed = false;
    private handingOver = false;
    /** Begin of the present token: what ran before it is known only from lists. */
    private ownsSince: Milliseconds;
    private readonly unsubscribe: Unsubscribe;

    constructor(private readonly options: PoolOptions) {
        this.ownsSince = options.clock.now();
        this.ended = new EndedJobs(options.clock);
        const events: TaskEvents = {
            onDone: (job, task) => this.noteDone(job, task),
            onAgain: (job, task) => this.waitAgain(job, task),
            onFinish: (job, answer) => this.finish(job, answer),
        };
        this.spiller = new TaskSpiller(options, events);
        this.workers = new OwnedWorkers({
            ...options,
            onEnd: (session, run, outcome) => this.noteEnd(session, run, outcome),
            onFound: (session, run) => this.noteFound(session, run),
            onStandstill: (session, run, percent) => this.noteStandstill(session, run, percent),
            onChange: () => this.planServe(),
        });
        this.runEnds = new RunEnds(options, this.workers, events);
        this.unsubscribe = options.timers.every(poolTickMs, () => this.tick());
    }

    get waitingJobs(): number {
        return this.jobs.waitingCount;
    }

    /** Takes a worker over, or takes note of what it says of itself now. */
    setWorker(announcement: WorkerAnnouncement): void {
        this.workers.set(announcement);
    }

    /** Takes a job; its home gets one answer. A job that is here already is handed to the new home. */
    submit(request: JobRequest, home: JobHome): void {
        const ended = this.ended.get(request.id);
        if (ended) {
            home.answer(ended);
            return;
        }
        const present = this.jobs.get(request.id);
        if (present && hasSameTasks(present.request, request)) {
            this.moveHome(present, home);
            return;
        }
        if (present) {
            this.finish(present, { kind: "unknown", reason: "the job came again with other tasks" });
        }
        if (request.spilled && this.handingOver) {
            home.answer({ kind: "refused", reason: "the owner of the zone's workers changes", retryAfterMs: 0 });
            return;
        }
        const now = this.options.clock.now();
        const job = newPoolJob(request, home, now, getUncertaintyEnd(request, now, this.ownsSince));
        const obstacle = this.workers.findLastingObstacle(request);
        if (obstacle !== undefined) {
            this.answer(job, { kind: "failed", reason: obstacle });
            return;
        }
        this.jobs.add(job);
        job.tasks.forEach(task => this.adopt(job, task));
        this.jobs.prune();
        this.planServe();
    }

    private moveHome(job: PoolJob, home: JobHome): void {
        job.home = home;
        job.awayKnown = "no";
        if (job.away.size > 0) {
            job.awayKnown = home.noteAway() ? "yes" : "asked";
        }
    }

    /** Ends a job that nobody waits for any more; its runs are stopped. */
    cancel(id: JobId, homeKey: string, reason: string): void {
        const job = this.jobs.get(id);
        if (job?.home.key === homeKey) {
            this.close(job, reason);
        }
    }

    /** Ends the jobs of a home that is gone, unless they came back through another home in the meantime. */
    noteHomeLost(homeKey: string): void {
        const endJobs = (spilled: boolean) => {
            for (const job of this.jobs.getAll()) {
                if (job.home.key === homeKey && job.request.spilled === spilled) {
                    this.close(job, "its entry is gone");
                }
            }
        };
        this.options.timers.after(spilledGraceMs, () => endJobs(true));
        this.options.timers.after(orphanGraceMs, () => endJobs(false));
    }

    /** The home knows now that tasks of its job may go to other zones. */
    noteAwayKnown(id: JobId, homeKey: string): void {
        const job = this.jobs.get(id);
        if (job?.awayKnown === "asked" && job.home.key === homeKey) {
            job.awayKnown = "yes";
            this.planServe();
        }
    }

    /** Takes note of what became of tasks handed to another zone. */
    noteRemoteAnswer(zone: string, id: JobId, answer: JobAnswer): void {
        const job = this.jobs.get(id);
        if (job) {
            this.spiller.noteAnswer(zone, job, answer);
        }
    }

    /** The pool of another zone is out of reach; whether the tasks handed to it run is not known. */
    noteRemoteLost(zone: string): void {
        this.jobs.getAll().forEach(job => this.spiller.noteLost(zone, job));
    }

    /** The token was raised because a worker obeyed a higher one: another owner may have started tasks in between. */
    noteTokenRaised(): void {
        this.ownsSince = this.options.clock.now();
        this.workers.listAgain();
    }

    /** From now on nothing goes to or comes from other zones, so that the pool can be handed over without loss. */
    prepareHandOver(): void {
        this.handingOver = true;
    }

    /** True while jobs here have tasks in another zone, or jobs of another zone have tasks here. */
    get hasPartsOfOtherZones(): boolean {
        return this.jobs.getAll().some(job => job.request.spilled || job.away.size > 0);
    }

    /** What other zones may hand over now; nothing while jobs wait here. */
    getFreeRoom(): FreeRoom {
        return this.handingOver || this.jobs.waitingCount > 0 ? {} : this.workers.getFreeRoom();
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
        session.setRequest(run, task.request);
        placeTask(job, task, session, run.run, run.orderedAt);
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
        for (const job of this.jobs.getWaiting()) {
            if (passedOver >= maximumPassedOver) {
                break;
            }
            if (!this.placeTasks(job)) {
                this.spill(job);
                passedOver += job.waiting > 0 ? 1 : 0;
            }
        }
        this.jobs.prune();
        this.jobs.getWaiting()
            .filter(job => job.request.spilled && job.started === 0)
            .forEach(job => this.giveUp(job));
    }

    /** True when no task of the job has to go on waiting. */
    private placeTasks(job: PoolJob): boolean {
        if (isUncertain(job, this.getView())) {
            return false;
        }
        for (const task of job.tasks) {
            if (task.state === "waiting" && !this.tryToPlace(job, task)) {
                return false;
            }
        }
        return true;
    }

    private spill(job: PoolJob): void {
        if (!job.request.spilled && !this.handingOver && !isUncertain(job, this.getView())) {
            this.spiller.spill(
                job,
                job.tasks.filter(task => task.state === "waiting" && !this.liveRuns.has(task.request.name)),
            );
        }
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
        placeTask(job, task, session, run, this.options.clock.now());
        this.liveRuns.set(request.name, session);
        logPlacement(this.options, job, task, session);
        session.start(request, run, job.request.payload);
        return true;
    }

    private noteFound(session: WorkerSession, run: Run): void {
        this.liveRuns.set(run.task, session);
        const owner = this.jobs.findTask(run.task);
        if (owner) {
            this.adopt(owner.job, owner.task);
            this.jobs.prune();
            return;
        }
        this.options.timers.after(orphanGraceMs, () => {
            if (!this.jobs.findTask(run.task) && session.getRun(run.task) === run) {
                this.options.logger.info("run without a job is stopped", { task: run.task, run: run.run });
                session.stop(run.task);
            }
        });
    }

    /** Stops a run that makes no progress, so that its task can run on another worker. */
    private noteStandstill(session: WorkerSession, run: Run, percent: number): void {
        logStandstill(this.options, session, run, percent);
        this.workers.noteStandstill(session);
        session.stop(run.task);
    }

    private noteEnd(session: WorkerSession, run: Run, outcome: RunOutcome): void {
        if (this.liveRuns.get(run.task) === session) {
            this.liveRuns.delete(run.task);
        }
        const owner = this.jobs.findTask(run.task);
        if (owner && owner.task.session === session && owner.task.state === "placed") {
            this.runEnds.note(owner.job, owner.task, session, run, outcome);
        }
        this.planServe();
    }

    private noteDone(job: PoolJob, task: PoolTask): void {
        task.state = "done";
        job.done += 1;
        if (job.done === job.tasks.length) {
            this.finish(job, { kind: "completed" });
        }
    }

    private waitAgain(job: PoolJob, task: PoolTask): void {
        task.state = "waiting";
        job.waiting += 1;
        this.jobs.enqueue(job);
        this.planServe();
    }

    private finish(job: PoolJob, answer: JobAnswer): void {
        if (job.closed) {
            return;
        }
        if (!job.request.spilled && (answer.kind === "completed" || answer.kind === "failed")) {
            this.ended.remember(job.request.id, answer);
        }
        this.answer(job, answer);
        this.close(job, answer.kind);
    }

    private answer(job: PoolJob, answer: JobAnswer): void {
        this.options.metrics.count("anvilmux_pool_jobs_total", { answer: answer.kind });
        job.home.answer(answer);
    }

    private close(job: PoolJob, reason: string): void {
        job.closed = true;
        this.jobs.remove(job);
        for (const task of job.tasks) {
            if (task.state === "placed") {
                task.session?.stop(task.request.name);
            }
        }
        this.spiller.cancel(job);
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
        const view = this.getView();
        this.jobs.getAll().filter(job => isHopeless(job, view)).forEach(job => this.giveUp(job));
        if (this.jobs.waitingCount > 0) {
            this.serve();
        }
    }

    private giveUp(job: PoolJob): void {
        logGivenUp(this.options, job, {
            waitingJobs: this.jobs.waitingCount,
            ...this.workers.describeRoom(job.request.service),
            otherZones: this.spiller.describeRoom(job.request.service),
        });
        this.finish(job, newGivenUpAnswer(job));
    }

    private getView(): PoolView {
        return {
            now: this.options.clock.now(),
            areAllListed: () => this.workers.areAllListed(),
        };
    }
}
