/**
 * The tasks an owner has taken and the workers it owns: a queue by class and target start, placement by free
 * resources counted here, team quotas, quarantine of workers that fail everything, and cancellation.
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
import type { OwnedTask, TaskEnd, TaskOutcomeName } from "./types";
import { WorkerIndex } from "./WorkerIndex";
import type { IndexedWorker } from "./WorkerIndex";
import { getTaskKey, WorkerLink } from "./WorkerLink";
import type { WorkerWord } from "./WorkerLink";

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
    readonly key: number;
    cancelled: boolean;
}

interface RunningTask {
    readonly task: OwnedTask;
    readonly workerId: string;
    readonly startedAt: Milliseconds;
    readonly expected: Milliseconds;
    cancelled: boolean;
    straggles: boolean;
}

interface OwnedWorker {
    readonly link: WorkerLink;
    readonly quarantine: Quarantine;
    batch: OwnedTask[];
    leaving: boolean;
}

/** Head of the queue that cannot be placed does not hold up this many tasks behind it. */
const maximumPassedOver = 16;

export class TaskPool {
    readonly runTimes: RunTimes;
    private readonly index: WorkerIndex;
    private readonly workers = new Map<string, OwnedWorker>();
    private readonly urgent = newQueue();
    private readonly other = newQueue();
    private readonly queuedByJob = new Map<JobId, Set<QueuedTask>>();
    private readonly running = new Map<string, RunningTask>();
    /** Keys of running tasks, so that a cancellation looks at its own job's tasks only. */
    private readonly runningByJob = new Map<JobId, Set<string>>();
    private readonly processorsByTeam = new Map<string, number>();
    private totalProcessors = 0;
    private freeProcessors = 0;
    private waitingCount = 0;
    private servePlanned = false;
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

    /** Takes over which workers this instance owns now. Workers given up are released when their tasks have ended. */
    setWorkers(announcements: readonly WorkerAnnouncement[]): void {
        const wanted = new Map(announcements.map(item => [item.id, item]));
        for (const [id, owned] of this.workers) {
            const announcement = wanted.get(id);
            const isSame = announcement?.incarnation === owned.link.announcement.incarnation
                && announcement.address === owned.link.announcement.address;
            owned.leaving = !isSame;
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

    /** Queues a task; its end is reported once. */
    submit(task: OwnedTask): void {
        const { specification } = task;
        this.runTimes.declare(specification.kind, specification.declaredRunMs);
        const expected = this.runTimes.getExpected(specification.kind);
        const key = this.options.protectsShortTasks
            ? Math.min(task.deadline, task.enqueuedAt + 2 * expected)
            : task.enqueuedAt;
        const queued: QueuedTask = { task, key, cancelled: false };
        (task.urgent && this.options.protectsShortTasks ? this.urgent : this.other).push(queued);
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
        this.serveQueue(this.urgent);
        this.serveQueue(this.other);
        this.workers.forEach((owned, id) => this.sendBatch(id, owned));
    }

    /** Cancels a job's tasks: waiting ones never start, running ones are stopped. Returns their number. */
    cancelJob(jobId: JobId): number {
        let cancelled = 0;
        for (const queued of this.queuedByJob.get(jobId) ?? []) {
            queued.cancelled = true;
            this.endQueued(queued, "not-run", "the job was cancelled");
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
            onLeaseChange: held => this.noteLease(id, held),
        });
        this.workers.set(id, {
            link,
            quarantine: new Quarantine(this.options.clock),
            batch: [],
            leaving: false,
        });
        this.index.add(id, announcement.rack, announcement);
        this.index.setUsable(id, false);
        this.totalProcessors += announcement.processors;
        this.freeProcessors += announcement.processors;
        void link.keepLease();
    }

    private noteLease(id: string, held: boolean): void {
        const owned = this.workers.get(id);
        this.index.setUsable(id, held && owned !== undefined && !owned.leaving && !owned.quarantine.isOn);
        if (held) {
            this.serve();
        }
    }

    private releaseIfIdle(id: string, owned: OwnedWorker): void {
        if (!owned.leaving || [...this.running.values()].some(running => running.workerId === id)) {
            return;
        }
        this.workers.delete(id);
        this.index.remove(id);
        this.totalProcessors -= owned.link.announcement.processors;
        this.freeProcessors -= owned.link.announcement.processors;
        void owned.link.close(true);
    }

    private serveQueue(queue: TinyQueue<QueuedTask>): void {
        const passedOver: QueuedTask[] = [];
        while (passedOver.length < maximumPassedOver) {
            const queued = queue.pop();
            if (!queued) {
                break;
            }
            if (!queued.cancelled && !this.tryToPlace(queued)) {
                passedOver.push(queued);
            }
        }
        passedOver.forEach(queued => queue.push(queued));
    }

    /** False when the task has to go on waiting. */
    private tryToPlace(queued: QueuedTask): boolean {
        const { task } = queued;
        if (this.options.clock.now() > task.deadline) {
            this.endQueued(queued, "not-run", "no worker became free before the deadline");
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
        this.forgetQueued(queued);
        this.count(task, worker.id, 1);
        const key = getTaskKey(task);
        this.runningByJob.set(task.jobId, (this.runningByJob.get(task.jobId) ?? new Set()).add(key));
        this.running.set(key, {
            task,
            workerId: worker.id,
            startedAt: this.options.clock.now(),
            expected: this.runTimes.getExpected(task.specification.kind),
            cancelled: false,
            straggles: false,
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
        void owned.link.start(tasks, (task, word) => this.noteWord(id, task, word));
    }

    private noteWord(workerId: string, task: OwnedTask, word: WorkerWord): void {
        const key = getTaskKey(task);
        const running = this.running.get(key);
        if (!running) {
            return;
        }
        this.running.delete(key);
        this.forgetRunning(task.jobId, key);
        this.count(task, workerId, -1);
        const run = this.options.clock.now() - running.startedAt;
        const outcome = getTaskOutcome(word, running.cancelled);
        if (outcome === "answered") {
            this.runTimes.record(task.specification.kind, run);
        }
        this.judgeWorker(workerId, word, running.cancelled);
        task.report({
            taskId: task.specification.id,
            outcome,
            result: word.result,
            reason: running.cancelled ? "the job was cancelled" : word.reason,
            workerId,
            queued: running.startedAt - task.enqueuedAt,
            run,
        });
        const owned = this.workers.get(workerId);
        if (owned) {
            this.releaseIfIdle(workerId, owned);
        }
        this.planServe();
    }

    /** Serves once for all task ends that arrive together. */
    private planServe(): void {
        if (!this.servePlanned) {
            this.servePlanned = true;
            queueMicrotask(() => {
                this.servePlanned = false;
                this.serve();
            });
        }
    }

    private judgeWorker(id: string, word: WorkerWord, cancelled: boolean): void {
        const owned = this.workers.get(id);
        if (!owned || cancelled) {
            return;
        }
        const pause = owned.quarantine.note(word.state === "finished");
        if (pause > 0) {
            this.index.setUsable(id, false);
            this.options.logger.warn("worker quarantined", { worker: id, pauseMs: pause, reason: word.reason });
        }
    }

    private count(task: OwnedTask, workerId: string, sign: 1 | -1): void {
        const { processors } = task.specification;
        this.index.use(workerId, task.specification, sign);
        this.freeProcessors -= sign * processors;
        this.processorsByTeam.set(task.team, (this.processorsByTeam.get(task.team) ?? 0) + sign * processors);
    }

    private endQueued(queued: QueuedTask, outcome: TaskOutcomeName, reason: string): void {
        this.forgetQueued(queued);
        const { task } = queued;
        const end: TaskEnd = {
            taskId: task.specification.id,
            outcome,
            reason,
            result: "",
            workerId: "",
            queued: this.options.clock.now() - task.enqueuedAt,
            run: 0,
        };
        task.report(end);
    }

    private forgetQueued(queued: QueuedTask): void {
        this.waitingCount -= 1;
        const ofJob = this.queuedByJob.get(queued.task.jobId);
        ofJob?.delete(queued);
        if (ofJob?.size === 0) {
            this.queuedByJob.delete(queued.task.jobId);
        }
    }

    private forgetRunning(jobId: JobId, key: string): void {
        const ofJob = this.runningByJob.get(jobId);
        ofJob?.delete(key);
        if (ofJob?.size === 0) {
            this.runningByJob.delete(jobId);
        }
    }

    /** Ends quarantines, notes stragglers and tries what waits. */
    private tick(): void {
        const now = this.options.clock.now();
        for (const [id, owned] of this.workers) {
            if (owned.link.holdsLease && !owned.leaving && !owned.quarantine.isOn) {
                this.index.setUsable(id, true);
            }
        }
        for (const running of this.running.values()) {
            if (!running.straggles && now - running.startedAt > stragglerFactor * running.expected) {
                running.straggles = true;
                this.options.metrics.count("anvilmux_stragglers_total");
                this.options.decisions.add(running.task.jobId, `task ${running.task.specification.id} is a straggler`);
            }
        }
        if (this.waitingCount > 0) {
            this.serve();
        }
    }
}

const newQueue = (): TinyQueue<QueuedTask> => new TinyQueue<QueuedTask>([], (left, right) => left.key - right.key);
