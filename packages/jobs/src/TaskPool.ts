/**
 * The tasks that an owner accepted and the workers it owns: queues by class, ordered by target start time, placement
 * by free resources as tracked here, team quotas, quarantine of workers that fail every task, and cancellation.
 */

import type { Clock, JobId, Milliseconds, Random, Timers, Unsubscribe } from "@anvilmux/common";
import type { WorkerAnnouncement } from "@anvilmux/membership";
import { RunTimes } from "@anvilmux/routing";
import type { DecisionLog, Logger, Metrics } from "@anvilmux/telemetry";
import TinyQueue from "tinyqueue";
import { expiryPeriodMs, shortTaskReserve, stragglerFactor } from "./constants";
import type { PlaceTask } from "./placement";
import { Quarantine } from "./Quarantine";
import { getTaskOutcome } from "./taskOutcome";
import type { OwnedTask, TaskCompletion, TaskOutcomeName } from "./types";
import { WorkerIndex } from "./WorkerIndex";
import type { IndexedWorker } from "./WorkerIndex";
import { getTaskKey, WorkerLink } from "./WorkerLink";
import type { WorkerReply } from "./WorkerLink";

export interface TaskPoolOptions {
    readonly ownerId: string;
    readonly clock: Clock;
    readonly timers: Timers;
    readonly random: Random;
    readonly logger: Logger;
    readonly metrics: Metrics;
    readonly decisions: DecisionLog;
    readonly place: PlaceTask;
    /** Processors a team's jobs may use at once at this owner; Infinity without a quota. */
    readonly getTeamProcessors: (team: string) => number;
    /** False gives first-in, first-out order without a reserve for short tasks. */
    readonly protectsShortTasks: boolean;
}

interface QueuedTask {
    readonly task: OwnedTask;
    readonly sortKey: number;
    cancelled: boolean;
}

interface RunningTask {
    readonly task: OwnedTask;
    readonly workerId: string;
    readonly startedAt: Milliseconds;
    readonly expected: Milliseconds;
    cancelled: boolean;
    isStraggler: boolean;
}

interface OwnedWorker {
    readonly link: WorkerLink;
    readonly quarantine: Quarantine;
    batch: OwnedTask[];
    releasing: boolean;
}

/** Tasks that one pass may skip, so that a head of the queue that cannot be placed does not block those behind it. */
const maximumSkipped = 16;

export class TaskPool {
    readonly runTimes: RunTimes;
    private readonly index: WorkerIndex;
    private readonly workers = new Map<string, OwnedWorker>();
    private readonly urgentQueue = newQueue();
    private readonly defaultQueue = newQueue();
    private readonly queuedByJob = new Map<JobId, Set<QueuedTask>>();
    private readonly running = new Map<string, RunningTask>();
    /** Keys of running tasks, so that a cancellation visits only the tasks of its job. */
    private readonly runningByJob = new Map<JobId, Set<string>>();
    private readonly processorsByTeam = new Map<string, number>();
    private totalProcessors = 0;
    private freeProcessors = 0;
    private waitingCount = 0;
    private serveScheduled = false;
    private readonly unsubscribe: Unsubscribe;

    constructor(private readonly options: TaskPoolOptions) {
        this.index = new WorkerIndex(options.random);
        this.runTimes = new RunTimes(options.clock);
        this.unsubscribe = options.timers.every(expiryPeriodMs, () => this.tick());
    }

    get waiting(): number {
        return this.waitingCount;
    }

    get runningCount(): number {
        return this.running.size;
    }

    get ownedWorkers(): readonly string[] {
        return [...this.workers.keys()];
    }

    /** Sets the workers that this instance owns. Others are released once their running tasks have completed. */
    setWorkers(announcements: readonly WorkerAnnouncement[]): void {
        const wanted = new Map(announcements.map(item => [item.id, item]));
        for (const [id, owned] of this.workers) {
            const announcement = wanted.get(id);
            const isSame = announcement?.incarnation === owned.link.announcement.incarnation
                && announcement.address === owned.link.announcement.address;
            owned.releasing = !isSame;
            if (!isSame) {
                this.index.setUsable(id, false);
                this.releaseIfIdle(id, owned);
            }
        }
        for (const announcement of announcements) {
            if (!this.workers.has(announcement.id)) {
                this.addWorker(announcement);
            }
        }
    }

    /** Queues a task; its completion is reported once. */
    submit(task: OwnedTask): void {
        const { specification } = task;
        this.runTimes.declare(specification.kind, specification.declaredRunMs);
        const expected = this.runTimes.getExpected(specification.kind);
        const sortKey = this.options.protectsShortTasks
            ? Math.min(task.deadline, task.enqueuedAt + 2 * expected)
            : task.enqueuedAt;
        const queued: QueuedTask = { task, sortKey, cancelled: false };
        (task.urgent && this.options.protectsShortTasks ? this.urgentQueue : this.defaultQueue).push(queued);
        this.waitingCount += 1;
        let ofJob = this.queuedByJob.get(task.jobId);
        if (!ofJob) {
            ofJob = new Set();
            this.queuedByJob.set(task.jobId, ofJob);
        }
        ofJob.add(queued);
    }

    /** Places waiting tasks as far as resources allow, then sends each worker its batch. */
    serve(): void {
        this.serveQueue(this.urgentQueue);
        this.serveQueue(this.defaultQueue);
        this.workers.forEach((owned, id) => this.sendBatch(id, owned));
    }

    /** Cancels a job's tasks: waiting ones never start, running ones are stopped. Returns their number. */
    cancelJob(jobId: JobId): number {
        let cancelled = 0;
        for (const queued of this.queuedByJob.get(jobId) ?? []) {
            queued.cancelled = true;
            this.completeQueued(queued, "not-run", "the job was cancelled");
            cancelled += 1;
        }
        const byWorker = new Map<string, string[]>();
        for (const key of this.runningByJob.get(jobId) ?? []) {
            const running = this.running.get(key)!;
            if (!running.cancelled) {
                running.cancelled = true;
                byWorker.set(running.workerId, [...byWorker.get(running.workerId) ?? [], key]);
                cancelled += 1;
            }
        }
        byWorker.forEach((keys, workerId) => void this.workers.get(workerId)?.link.cancel(keys));
        return cancelled;
    }

    async stop(): Promise<void> {
        this.unsubscribe();
        await Promise.all([...this.workers.values()].map(owned => owned.link.close(true)));
        this.workers.clear();
    }

    private addWorker(announcement: WorkerAnnouncement): void {
        const { id } = announcement;
        const link = new WorkerLink({
            announcement,
            ownerId: this.options.ownerId,
            timers: this.options.timers,
            logger: this.options.logger,
            onLeaseChange: held => this.handleLeaseChange(id, held),
        });
        this.workers.set(id, {
            link,
            quarantine: new Quarantine(this.options.clock),
            batch: [],
            releasing: false,
        });
        this.index.add(id, announcement.rack, announcement);
        this.index.setUsable(id, false);
        this.totalProcessors += announcement.processors;
        this.freeProcessors += announcement.processors;
        void link.keepLease();
    }

    private handleLeaseChange(id: string, held: boolean): void {
        const owned = this.workers.get(id);
        this.index.setUsable(id, held && owned !== undefined && !owned.releasing && !owned.quarantine.isActive);
        if (held) {
            this.serve();
        }
    }

    private releaseIfIdle(id: string, owned: OwnedWorker): void {
        if (!owned.releasing || [...this.running.values()].some(running => running.workerId === id)) {
            return;
        }
        this.workers.delete(id);
        this.index.remove(id);
        this.totalProcessors -= owned.link.announcement.processors;
        this.freeProcessors -= owned.link.announcement.processors;
        void owned.link.close(true);
    }

    private serveQueue(queue: TinyQueue<QueuedTask>): void {
        const skipped: QueuedTask[] = [];
        while (skipped.length < maximumSkipped) {
            const queued = queue.pop();
            if (!queued) {
                break;
            }
            if (!queued.cancelled && !this.tryToPlace(queued)) {
                skipped.push(queued);
            }
        }
        skipped.forEach(queued => queue.push(queued));
    }

    /** False when the task has to stay queued. */
    private tryToPlace(queued: QueuedTask): boolean {
        const { task } = queued;
        if (this.options.clock.now() > task.deadline) {
            this.completeQueued(queued, "not-run", "no worker became free before the deadline");
            return true;
        }
        const needed = task.specification;
        const used = this.processorsByTeam.get(task.team) ?? 0;
        const isOverQuota = used + needed.processors > this.options.getTeamProcessors(task.team);
        if (isOverQuota || this.mustLeaveReserve(task)) {
            return false;
        }
        const worker = this.options.place(this.index, needed);
        if (!worker) {
            return false;
        }
        this.assign(queued, worker);
        return true;
    }

    /** Long tasks leave some processors free for short ones. */
    private mustLeaveReserve(task: OwnedTask): boolean {
        const { kind, processors } = task.specification;
        return this.options.protectsShortTasks
            && this.runTimes.isLong(kind)
            && this.freeProcessors - processors < this.totalProcessors * shortTaskReserve;
    }

    private assign(queued: QueuedTask, worker: IndexedWorker): void {
        const { task } = queued;
        this.removeQueued(queued);
        this.adjustUsage(task, worker.id, 1);
        const key = getTaskKey(task);
        this.runningByJob.set(task.jobId, (this.runningByJob.get(task.jobId) ?? new Set()).add(key));
        this.running.set(key, {
            task,
            workerId: worker.id,
            startedAt: this.options.clock.now(),
            expected: this.runTimes.getExpected(task.specification.kind),
            cancelled: false,
            isStraggler: false,
        });
        this.workers.get(worker.id)!.batch.push(task);
    }

    private sendBatch(id: string, owned: OwnedWorker): void {
        if (owned.batch.length === 0) {
            return;
        }
        const tasks = owned.batch;
        owned.batch = [];
        this.options.metrics.count("anvilmux_task_starts_total", {}, tasks.length);
        void owned.link.start(tasks, (task, reply) => this.handleReply(id, task, reply));
    }

    private handleReply(workerId: string, task: OwnedTask, reply: WorkerReply): void {
        const key = getTaskKey(task);
        const running = this.running.get(key);
        if (!running) {
            return;
        }
        this.running.delete(key);
        this.removeRunning(task.jobId, key);
        this.adjustUsage(task, workerId, -1);
        const run = this.options.clock.now() - running.startedAt;
        const outcome = getTaskOutcome(reply, running.cancelled);
        if (outcome === "answered") {
            this.runTimes.record(task.specification.kind, run);
        }
        this.updateQuarantine(workerId, reply, running.cancelled);
        task.report({
            taskId: task.specification.id,
            outcome,
            result: reply.result,
            reason: running.cancelled ? "the job was cancelled" : reply.reason,
            workerId,
            queued: running.startedAt - task.enqueuedAt,
            run,
        });
        const owned = this.workers.get(workerId);
        if (owned) {
            this.releaseIfIdle(workerId, owned);
        }
        this.scheduleServe();
    }

    /** Serves the queues once for all completions that arrive together. */
    private scheduleServe(): void {
        if (!this.serveScheduled) {
            this.serveScheduled = true;
            queueMicrotask(() => {
                this.serveScheduled = false;
                this.serve();
            });
        }
    }

    private updateQuarantine(id: string, reply: WorkerReply, cancelled: boolean): void {
        const owned = this.workers.get(id);
        if (!owned || cancelled) {
            return;
        }
        const pause = owned.quarantine.recordOutcome(reply.state === "finished");
        if (pause > 0) {
            this.index.setUsable(id, false);
            this.options.logger.warn("worker quarantined", { worker: id, pauseMs: pause, reason: reply.reason });
        }
    }

    private adjustUsage(task: OwnedTask, workerId: string, sign: 1 | -1): void {
        const { processors } = task.specification;
        this.index.use(workerId, task.specification, sign);
        this.freeProcessors -= sign * processors;
        this.processorsByTeam.set(task.team, (this.processorsByTeam.get(task.team) ?? 0) + sign * processors);
    }

    private completeQueued(queued: QueuedTask, outcome: TaskOutcomeName, reason: string): void {
        this.removeQueued(queued);
        const { task } = queued;
        const completion: TaskCompletion = {
            taskId: task.specification.id,
            outcome,
            reason,
            result: "",
            workerId: "",
            queued: this.options.clock.now() - task.enqueuedAt,
            run: 0,
        };
        task.report(completion);
    }

    private removeQueued(queued: QueuedTask): void {
        this.waitingCount -= 1;
        const ofJob = this.queuedByJob.get(queued.task.jobId);
        ofJob?.delete(queued);
        if (ofJob?.size === 0) {
            this.queuedByJob.delete(queued.task.jobId);
        }
    }

    private removeRunning(jobId: JobId, key: string): void {
        const ofJob = this.runningByJob.get(jobId);
        ofJob?.delete(key);
        if (ofJob?.size === 0) {
            this.runningByJob.delete(jobId);
        }
    }

    /** Ends quarantines, reports stragglers, and places or expires queued tasks. */
    private tick(): void {
        const now = this.options.clock.now();
        for (const [id, owned] of this.workers) {
            if (owned.link.holdsLease && !owned.releasing && !owned.quarantine.isActive) {
                this.index.setUsable(id, true);
            }
        }
        for (const running of this.running.values()) {
            if (!running.isStraggler && now - running.startedAt > stragglerFactor * running.expected) {
                running.isStraggler = true;
                this.options.metrics.count("anvilmux_stragglers_total");
                this.options.decisions.add(running.task.jobId, `task ${running.task.specification.id} is a straggler`);
            }
        }
        if (this.waitingCount > 0) {
            this.serve();
        }
    }
}

const newQueue = (): TinyQueue<QueuedTask> =>
    new TinyQueue<QueuedTask>([], (left, right) => left.sortKey - right.sortKey);
