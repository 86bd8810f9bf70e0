/**
 * Schedules the jobs of a zone on its workers. One owner per zone runs it, with a single queue and a single view of the
 * free capacity. A task is started again only when its earlier run has certainly ended. Tasks that do not fit into the
 * free capacity are spilled, that is, forwarded to another zone.
 */

import type { JobId, Milliseconds, Unsubscribe } from "@anvilmux/common";
import { endedJobRetentionMs, maximumEndedJobs, schedulerTickMs, takeoverUncertaintyMs } from "./constants";
import { CrashSuspects } from "./CrashSuspects";
import { FoundRuns } from "./FoundRuns";
import { JobAdmission } from "./JobAdmission";
import { getScheduledBytes, holdUnlimited } from "./jobSize";
import type { HoldMemory } from "./jobSize";
import { JobTable } from "./JobTable";
import { cannotMeetDeadline, mayWorkersHaveUnseenRuns, newAbortAnswer } from "./jobTimeouts";
import { LiveRuns } from "./LiveRuns";
import { OverloadControl } from "./OverloadControl";
import type { OverloadSettings } from "./overloadPolicy";
import { OwnedWorkers } from "./OwnedWorkers";
import type { OwnedWorkersOptions } from "./OwnedWorkers";
import { OwnershipPeriod } from "./OwnershipPeriod";
import { PlacementRounds } from "./PlacementRounds";
import { RecentMap } from "./RecentMap";
import { RunCompletionHandler } from "./RunCompletionHandler";
import type { Run, RunEnd } from "./RunTable";
import { applyResubmission, newScheduledJob } from "./ScheduledJob";
import type { ScheduledJob, ScheduledTask, TaskEvents } from "./ScheduledJob";
import {
    logAbortedJob,
    logClosedJob,
    logIgnoredCancel,
    logInterruption,
    logStalledRun,
    logUnassignedRun,
} from "./schedulerLog";
import { hasSameTasks } from "./spill";
import { abandonJobs, awaitSubmitter, replaceSubmitter } from "./submitters";
import { TaskPlacer } from "./TaskPlacer";
import { TaskSpiller } from "./TaskSpiller";
import type { TaskSpillerOptions } from "./TaskSpiller";
import type { FreeCapacity, HandoverState, JobAnswer, JobRequest, JobSubmitter, WorkerAnnouncement } from "./types";
import type { WorkerSession } from "./WorkerSession";
import { ZoneDrain } from "./ZoneDrain";

export type TaskSchedulerOptions =
    & Omit<OwnedWorkersOptions, "onEnd" | "onCrash" | "onFound" | "onStandstill" | "onChange" | "isInUse" | "isAwaited">
    & TaskSpillerOptions
    & {
        /** Called when an entry has seen a higher claim than this owner's; raises the claim above it. */
        readonly onOutranked: (claim: number) => void;
        /** Until when runs of former owners may go on at workers that are not known here; absent if all are known. */
        readonly getUnknownWorkersUntil?: () => Milliseconds;
        /** How far the entries of the zone have submitted their jobs to this owner; unknown when absent. */
        readonly getHandover?: () => HandoverState;
        /** Memory for jobs; unlimited when absent. */
        readonly holdMemory?: HoldMemory | undefined;
        /** How a demand above the capacity is handled; by deadline when absent. */
        readonly getOverloadSettings?: () => OverloadSettings;
    };

export class TaskScheduler {
    private readonly workers: OwnedWorkers;
    private readonly liveRuns = new LiveRuns();
    private readonly jobs = new JobTable();
    private readonly foundRuns: FoundRuns;
    /** Answers of ended jobs, for callers that resubmit a job because its answer was lost. */
    private readonly endedJobs: RecentMap<JobId, JobAnswer>;
    /** Jobs answered as unknown while they had tasks in a zone out of reach, and until when these may run there. */
    private readonly outOfReach: RecentMap<JobId, Milliseconds>;
    private readonly spiller: TaskSpiller;
    private readonly completions: RunCompletionHandler;
    private readonly suspects: CrashSuspects;
    private readonly placer: TaskPlacer;
    private readonly rounds: PlacementRounds;
    private readonly overload: OverloadControl;
    private readonly admission: JobAdmission;
    private readonly drain: ZoneDrain;
    private transferring = false;
    private readonly ownership: OwnershipPeriod;
    private readonly unsubscribe: Unsubscribe;

    constructor(private readonly options: TaskSchedulerOptions) {
        this.ownership = new OwnershipPeriod(options.clock, pausedMs => {
            logInterruption(options, pausedMs);
            this.handleTokenRaised();
        });
        this.endedJobs = new RecentMap(options.clock, endedJobRetentionMs, maximumEndedJobs);
        this.outOfReach = new RecentMap(options.clock, takeoverUncertaintyMs, maximumEndedJobs);
        this.suspects = new CrashSuspects(options.clock);
        this.foundRuns = new FoundRuns(options, this.jobs, this.liveRuns);
        const events: TaskEvents = {
            onDone: (job, task) => this.markTaskDone(job, task),
            onRequeue: (job, task) => this.requeueTask(job, task),
            onFinish: (job, answer) => this.finish(job, answer),
        };
        this.spiller = new TaskSpiller(options, events);
        this.drain = new ZoneDrain(options);
        this.workers = new OwnedWorkers({
            ...options,
            onFenced: fencingToken => {
                this.spiller.handleFenced(fencingToken);
                options.onFenced(fencingToken);
            },
            onEnd: (session, run, end) => this.handleRunCompletion(session, run, end),
            onCrash: (session, runs) => this.completions.handleCrash(session, runs),
            onFound: (session, run) => this.foundRuns.handle(session, run),
            onStandstill: (session, run, percent) => this.handleStalledRun(session, run, percent),
            onChange: () => this.rounds.schedule(),
            isInUse: id => this.drain.isInUse(id),
            isAwaited: task => this.jobs.findTask(task)?.job.isSubmitterPresent ?? false,
        });
        this.overload = new OverloadControl({
            ...options,
            jobs: this.jobs,
            workers: this.workers,
            isDrained: () => this.drain.isDrained,
            countSpillable: (job, count) => this.transferring ? 0 : this.spiller.countSpillable(job, count),
        });
        const { suspects, workers, overload } = this;
        this.admission = new JobAdmission({
            ...options,
            suspects,
            workers,
            overload,
            mayHaveRuns: job => this.rounds.mayHaveRuns(job),
        });
        this.placer = new TaskPlacer(options, this.workers, this.suspects, this.liveRuns, this.overload);
        this.completions = new RunCompletionHandler(options, this.workers, this.suspects, this.overload, events);
        this.rounds = new PlacementRounds({
            clock: options.clock,
            jobs: this.jobs,
            workers: this.workers,
            placer: this.placer,
            spiller: this.spiller,
            drain: this.drain,
            confirmOwnership: () => this.ownership.confirm(),
            getUnknownWorkersUntil: () => options.getUnknownWorkersUntil?.() ?? 0,
            maySpill: () => !this.transferring,
            onUnplaced: job => this.abortJob(job),
        });
        this.unsubscribe = options.timers.every(schedulerTickMs, () => this.tick());
    }

    hasJobsOf(submitterKey: string): boolean {
        return this.jobs.hasJobsOf(submitterKey);
    }

    get waitingJobs(): number {
        return this.jobs.waitingCount;
    }

    /** Adds a worker, or applies its latest announcement. */
    setWorker(announcement: WorkerAnnouncement): void {
        this.workers.set(announcement);
    }

    /** Adds a worker that has left: it gets no tasks, but may list runs of a former owner. */
    addDepartedWorker(announcement: WorkerAnnouncement): void {
        this.workers.addDeparted(announcement);
    }

    /** Workers may get tasks that might not before. */
    handleWorkersShared(): void {
        this.rounds.schedule();
    }

    /** Accepts a job; its submitter gets one answer. A job that is already present gets the new submitter. */
    submit(request: JobRequest, submitter: JobSubmitter): void {
        const ended = this.endedJobs.get(request.id);
        if (ended) {
            submitter.answer(ended);
            return;
        }
        this.admission.checkClaim(request);
        const present = this.jobs.get(request.id);
        const now = this.options.clock.now();
        if (present && hasSameTasks(present.request, request)) {
            applyResubmission(present, request, now);
            replaceSubmitter(present, submitter);
            this.awaitSubmitter(present);
            return;
        }
        if (present) {
            this.finish(present, { kind: "unknown", reason: "the job came again with other tasks" });
        }
        const transferReason = this.transferring ? "the owner of the zone's workers changes" : undefined;
        const refusalReason = transferReason ?? this.drain.refusalReason;
        if (request.spilled && refusalReason) {
            submitter.answer({ kind: "refused", reason: refusalReason, retryAfterMs: 0 });
            return;
        }
        const job = newScheduledJob(request, submitter, now, this.overload.getTimes(request, now));
        job.mayRunElsewhereUntil = Math.max(job.mayRunElsewhereUntil, this.outOfReach.get(request.id) ?? 0);
        const obstacle = this.admission.findAnswer(job);
        if (obstacle) {
            this.answer(job, obstacle);
            return;
        }
        const releaseMemory = (this.options.holdMemory ?? holdUnlimited)(getScheduledBytes(request));
        if (!releaseMemory) {
            const mayHaveRun = this.rounds.mayHaveRuns(job);
            this.answer(job, newAbortAnswer(job, mayHaveRun, "the memory for jobs is used up"));
            return;
        }
        job.releaseMemory = releaseMemory;
        this.jobs.add(job);
        job.tasks.forEach(task => this.foundRuns.adopt(job, task));
        this.jobs.prune(job);
        this.awaitSubmitter(job);
        this.rounds.schedule();
    }

    private awaitSubmitter(job: ScheduledJob): void {
        awaitSubmitter(this.options, job, () => this.rounds.schedule());
    }

    /** Cancels a job that its submitter no longer waits for, and stops its runs. */
    cancel(id: JobId, submitterKey: string, reason: string): void {
        const job = this.jobs.get(id);
        if (job?.submitter.key === submitterKey) {
            this.close(job, reason);
        }
        else if (job) {
            logIgnoredCancel(this.options, job, submitterKey);
        }
    }

    /**
     * Starts no more tasks of a job that its submitter submits to another owner. Runs go on, so that the other owner
     * finds them; without any, the job is closed.
     */
    withdraw(id: JobId, submitterKey: string): void {
        const job = this.jobs.get(id);
        if (job?.submitter.key === submitterKey) {
            job.withdrawn = true;
            if (job.tasks.every(task => task.state === "waiting" || task.state === "done")) {
                this.close(job, "withdrawn by its entry");
            }
        }
    }

    /** Closes the jobs of a disconnected submitter after a delay, unless another submitter resubmitted them by then. */
    handleSubmitterDisconnected(submitterKey: string): void {
        abandonJobs(
            this.options.timers,
            this.jobs.getAllOf(submitterKey),
            job => this.close(job, "the submitting entry is disconnected"),
        );
    }

    /** The submitter acknowledged that tasks of its job may be forwarded to other zones. */
    handleRemoteAcknowledgement(id: JobId, submitterKey: string): void {
        const job = this.jobs.get(id);
        if (job?.remoteAcknowledgement === "asked" && job.submitter.key === submitterKey) {
            job.remoteAcknowledgement = "yes";
            this.rounds.schedule();
        }
    }

    /** Handles the outcome of tasks forwarded to another zone. */
    handleRemoteAnswer(zone: string, id: JobId, answer: JobAnswer, submission: number | undefined): void {
        const job = this.jobs.get(id);
        if (job) {
            this.spiller.handleAnswer(zone, job, answer, submission);
        }
    }

    /** The scheduler of another zone is disconnected; whether the tasks forwarded to it run is unknown. */
    handleRemoteDisconnected(zone: string): void {
        const endsBy = this.options.clock.now() + takeoverUncertaintyMs;
        for (const job of this.jobs.getAll().filter(({ remoteTasks }) => remoteTasks.has(zone))) {
            this.outOfReach.set(job.request.id, endsBy);
            this.spiller.handleDisconnected(zone, job);
        }
    }

    /** The fencing token was raised because a worker accepted a higher one; another owner may have started tasks. */
    handleTokenRaised(): void {
        this.ownership.begin();
        this.workers.invalidateLists();
    }

    /** Stops exchanging tasks with other zones, so that ownership can be transferred without losing any. */
    prepareTransfer(): void {
        this.transferring = true;
    }

    /** True while jobs here have tasks in another zone, or jobs of another zone have tasks here. */
    get hasCrossZoneTasks(): boolean {
        return this.jobs.getAll().some(job => job.request.spilled || job.remoteTasks.size > 0);
    }

    /** Places no tasks here while the zone is drained. `elapsedMs`: time since a restore before this owner began. */
    setDrained(isDrained: boolean, elapsedMs?: Milliseconds): void {
        this.drain.set(isDrained, this.workers.getAnnouncements(), elapsedMs);
        this.rounds.schedule();
    }

    /** Capacity offered to other zones, of `limit` workers of a service; none while their tasks would be refused. */
    getFreeCapacity(limit?: number): FreeCapacity {
        const isOffered = !this.transferring && !this.drain.isDrained && this.jobs.waitingCount === 0
            && !mayWorkersHaveUnseenRuns(this.rounds.getView());
        return isOffered ? this.workers.getFreeCapacity(limit) : {};
    }

    /** Releases all workers without stopping their runs; the next owner finds them in the workers' lists. */
    stop(): void {
        this.rounds.stop();
        this.unsubscribe();
        this.jobs.getAll().forEach(job => job.releaseMemory());
        this.workers.close();
    }

    /** Stops a stalled run, so that its task can run on another worker. */
    private handleStalledRun(session: WorkerSession, run: Run, percent: number): void {
        logStalledRun(this.options, session, run, percent);
        this.workers.recordStall(session);
        session.stop(run.task);
    }

    private handleRunCompletion(session: WorkerSession, run: Run, end: RunEnd): void {
        this.liveRuns.remove(run.task, session);
        const owner = this.jobs.findTask(run.task);
        if (owner && owner.task.session === session && owner.task.state === "placed") {
            this.completions.handle(owner.job, owner.task, session, run, end);
        }
        else if (end.outcome !== "done") {
            logUnassignedRun(this.options, session, run, end, owner);
        }
        this.rounds.schedule();
    }

    private markTaskDone(job: ScheduledJob, task: ScheduledTask): void {
        task.state = "done";
        job.done += 1;
        if (job.done === job.tasks.length) {
            this.finish(job, { kind: "completed" });
        }
    }

    private requeueTask(job: ScheduledJob, task: ScheduledTask): void {
        task.state = "waiting";
        job.waiting += 1;
        if (!this.foundRuns.adopt(job, task)) {
            this.jobs.enqueue(job);
            this.rounds.schedule();
        }
    }

    private finish(job: ScheduledJob, answer: JobAnswer): void {
        if (job.closed) {
            return;
        }
        if (!job.request.spilled && (answer.kind === "completed" || answer.kind === "failed")) {
            this.endedJobs.set(job.request.id, answer);
        }
        this.answer(job, answer);
        this.close(job, answer.kind);
    }

    private answer(job: ScheduledJob, answer: JobAnswer): void {
        this.options.metrics.count("anvilmux_pool_jobs_total", { answer: answer.kind });
        job.submitter.answer(answer);
    }

    private close(job: ScheduledJob, reason: string): void {
        job.closed = true;
        job.releaseMemory();
        this.jobs.remove(job);
        for (const task of job.tasks) {
            if (task.state === "placed") {
                task.session?.stop(task.request.name);
            }
        }
        this.spiller.cancel(job);
        logClosedJob(this.options, job, reason);
    }

    /** Aborts jobs that cannot meet their deadline, and tries to place the waiting ones. */
    private tick(): void {
        this.foundRuns.review();
        const view = this.rounds.getView();
        this.jobs.getAll().filter(job => cannotMeetDeadline(job, view)).forEach(job => this.abortJob(job));
        if (this.jobs.waitingCount > 0 || this.drain.isDrained) {
            this.rounds.run();
        }
    }

    private abortJob(job: ScheduledJob): void {
        logAbortedJob(this.options, job, {
            waitingJobs: this.jobs.waitingCount,
            ...this.workers.describeCapacity(job.request.service),
            otherZones: this.spiller.describeCapacity(job.request.service),
        });
        this.finish(job, newAbortAnswer(job, this.rounds.mayHaveRuns(job), this.drain.refusalReason));
    }
}
