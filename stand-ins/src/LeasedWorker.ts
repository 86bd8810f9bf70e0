/**
 * An in-memory worker on a given clock that grants leases and lists its runs. It implements fencing, run numbers,
 * refusal of start orders past their deadline, completions that stay listed until they are acknowledged, and
 * incarnations. Fields inject faults.
 */

import type { Clock, Milliseconds, Timers, Unsubscribe } from "@anvilmux/common";
import { addResources, fits, subtractResources } from "@anvilmux/dispatch";
import type {
    Resources,
    RunList,
    RunResult,
    StartAnswer,
    StartOrder,
    TaskName,
    WatchAnswer,
    WatchOrder,
    WorkerAnnouncement,
    WorkerDriver,
} from "@anvilmux/dispatch";

interface LeasedRun {
    readonly task: TaskName;
    readonly run: number;
    readonly resources: Resources;
    readonly startedAt: Milliseconds;
    /** Time after the start from which the run makes no progress. */
    readonly stallAfterMs: Milliseconds;
    cancelCompletion: Unsubscribe;
}

interface ListedCompletion {
    readonly number: number;
    readonly task: TaskName;
    readonly run: number;
    readonly how: RunResult;
}

export interface LeasedWorkerOptions {
    readonly announcement: WorkerAnnouncement;
    readonly clock: Clock;
    readonly timers: Timers;
    /**
     * Time at which the worker's own clock read zero. When given, a restarted worker's clock begins anew; otherwise it
     * continues.
     */
    readonly clockStartedAt?: Milliseconds;
    /** Run time of a task. */
    readonly getRunMs: (task: TaskName) => Milliseconds;
    /** Resources of a task. */
    readonly getResources: (task: TaskName) => Resources;
    /** Called at each start and completion of a run, so that tests can check guarantees across workers. */
    readonly onStart: (task: TaskName, run: number) => void;
    readonly onCompletion: (task: TaskName, run: number, how: RunResult) => void;
}

/** Longest lease, on the worker's own clock. */
const longestLeaseMs = 1_000;
const leaseCheckMs = 10;
const stopDurationMs = 20;
const exchangeLatencyMs = 1;

export class LeasedWorker {
    /** Calls are neither answered nor carried out, as in a network partition. */
    isUnreachable = false;
    /** Connections are refused although the worker runs, as by a firewall. */
    refusesCalls = false;
    /** Start orders go unanswered and are carried out after this delay; 0 carries them out and answers at once. */
    orderDelayMs: Milliseconds = 0;
    /** Network latency of answers to watches; answers on other connections may overtake them. */
    listLatencyMs: Milliseconds = 0;
    /** Network latency of start orders; watches on other connections may overtake them. */
    startLatencyMs: Milliseconds = 1;
    /** Number of waiting watches that are carried out but not answered. */
    unansweredWatches = 0;
    failsAllTasks = false;
    /** Tasks that start from now on stall after this time. */
    stallAfterMs: Milliseconds = Infinity;
    /** Rate of the worker's clock relative to the given one. */
    clockRate = 1;
    private isDown = false;
    private clockStartedAt: Milliseconds;
    /** Runs by task and number: nothing keeps an order that is carried out late from starting an earlier run. */
    private readonly runs = new Map<string, LeasedRun>();
    private readonly lastRuns = new Map<TaskName, number>();
    private completions: ListedCompletion[] = [];
    private nextCompletion = 1;
    private fencingToken = 0;
    private leaseUntil: Milliseconds = 0;
    private usedResources: Resources = { millicores: 0, memoryMebibytes: 0, accelerators: 0 };
    private incarnation: number;
    private waiters: (() => void)[] = [];

    constructor(private readonly options: LeasedWorkerOptions) {
        this.incarnation = options.announcement.incarnation;
        this.clockStartedAt = options.clockStartedAt ?? 0;
        options.timers.every(leaseCheckMs, () => this.checkLease());
    }

    get announcement(): WorkerAnnouncement {
        return { ...this.options.announcement, incarnation: this.incarnation };
    }

    get runningCount(): number {
        return this.runs.size;
    }

    /** Processors that its runs use, in millicores. */
    get usedMillicores(): number {
        return this.usedResources.millicores;
    }

    get highestFencingToken(): number {
        return this.fencingToken;
    }

    get unacknowledgedCount(): number {
        return this.completions.length;
    }

    /** Crashes, refuses connections for `downMs`, and restarts under the same id and address. */
    crash(downMs: Milliseconds): void {
        this.isDown = true;
        this.endAllRuns();
        this.options.timers.after(downMs, () => {
            this.isDown = false;
            this.restart();
        });
    }

    /** Crashes and restarts at once under the same id and address. */
    restart(): void {
        this.endAllRuns();
        this.incarnation += 1;
        this.completions = [];
        this.nextCompletion = 1;
        this.fencingToken = 0;
        this.leaseUntil = 0;
        this.lastRuns.clear();
        if (this.options.clockStartedAt !== undefined) {
            this.clockStartedAt = this.options.clock.now();
        }
    }

    connect(): WorkerDriver {
        return {
            start: async order => await this.refuseWhileDown() ?? await this.start(order),
            stop: async (task, run, fencingToken) => !this.isRefusing && await this.stop(task, run, fencingToken),
            watch: async order => await this.refuseWhileDown() ?? await this.watch(order),
            close: () => undefined,
        };
    }

    private get isRefusing(): boolean {
        return this.isDown || this.refusesCalls;
    }

    private async refuseWhileDown() {
        if (!this.isRefusing) {
            return undefined;
        }
        await this.wait(exchangeLatencyMs);
        return { kind: "unanswered", reason: "connection refused", isRefused: true } as const;
    }

    private endAllRuns(): void {
        [...this.runs.values()].forEach(run => this.completeRun(run, "lapsed"));
    }

    private now(): Milliseconds {
        return (this.options.clock.now() - this.clockStartedAt) * this.clockRate;
    }

    private wait(duration: Milliseconds): Promise<void> {
        return new Promise(resolve => this.options.timers.after(duration, resolve));
    }

    private async start(order: StartOrder): Promise<StartAnswer> {
        await this.wait(this.startLatencyMs);
        if (this.isUnreachable || this.orderDelayMs > 0) {
            if (!this.isUnreachable) {
                this.options.timers.after(this.orderDelayMs, () => void this.execute(order));
            }
            await this.wait(300);
            return { kind: "unanswered", reason: "no answer in time" };
        }
        return this.execute(order);
    }

    private execute(order: StartOrder): StartAnswer {
        if (this.isDown) {
            return { kind: "unanswered", reason: "connection closed" };
        }
        if (order.fencingToken < this.fencingToken) {
            return { kind: "refused", reason: "fence", clock: this.now() };
        }
        this.fencingToken = order.fencingToken;
        if (this.now() > order.deadline) {
            return { kind: "refused", reason: "late", clock: this.now() };
        }
        this.extendLease(order.deadline);
        if (this.runs.has(getKey(order))) {
            return { kind: "started", clock: this.now() };
        }
        if (order.run <= (this.lastRuns.get(order.task) ?? 0)) {
            return { kind: "refused", reason: "old", clock: this.now() };
        }
        const resources = this.options.getResources(order.task);
        if (!fits(subtractResources(this.options.announcement.room, this.usedResources), resources)) {
            return { kind: "refused", reason: "room", clock: this.now() };
        }
        this.startRun(order, resources);
        return { kind: "started", clock: this.now() };
    }

    private startRun(order: StartOrder, resources: Resources): void {
        const run: LeasedRun = {
            task: order.task,
            run: order.run,
            resources,
            startedAt: this.options.clock.now(),
            stallAfterMs: this.stallAfterMs,
            cancelCompletion: () => undefined,
        };
        this.runs.set(getKey(run), run);
        this.usedResources = addResources(this.usedResources, resources);
        this.options.onStart(order.task, order.run);
        const runMs = this.options.getRunMs(order.task);
        if (runMs <= run.stallAfterMs) {
            const how = this.failsAllTasks ? "failed" : "done";
            run.cancelCompletion = this.options.timers.after(runMs, () => this.completeRun(run, how));
        }
    }

    private async stop(task: TaskName, run: number, fencingToken: number): Promise<boolean> {
        await this.wait(exchangeLatencyMs);
        if (this.isUnreachable || fencingToken < this.fencingToken) {
            return false;
        }
        this.lastRuns.set(task, Math.max(run, this.lastRuns.get(task) ?? 0));
        const present = this.runs.get(getKey({ task, run }));
        if (present) {
            present.cancelCompletion();
            present.cancelCompletion = this.options.timers.after(
                stopDurationMs,
                () => this.completeRun(present, "stopped"),
            );
        }
        return true;
    }

    private async watch(order: WatchOrder): Promise<WatchAnswer> {
        await this.wait(exchangeLatencyMs);
        if (this.isUnreachable) {
            await this.wait(order.timeoutMs);
            return { kind: "unanswered", reason: "no answer in time" };
        }
        if (order.fencingToken < this.fencingToken) {
            return { kind: "refused", reason: "fence" };
        }
        this.fencingToken = order.fencingToken;
        this.completions = this.completions.filter(completion => completion.number > order.lastAcknowledged);
        if (order.leaseUntil !== undefined) {
            this.extendLease(order.leaseUntil);
        }
        if (order.waitMs > 0 && this.unansweredWatches > 0) {
            this.unansweredWatches -= 1;
            await this.wait(order.timeoutMs);
            return { kind: "unanswered", reason: "no answer in time" };
        }
        if (this.completions.length === 0 && order.waitMs > 0) {
            await Promise.race([this.wait(order.waitMs), new Promise<void>(resolve => this.waiters.push(resolve))]);
        }
        const list = this.getList();
        if (this.listLatencyMs > 0) {
            await this.wait(this.listLatencyMs);
        }
        if (this.isUnreachable || this.isRefusing) {
            return { kind: "unanswered", reason: this.isRefusing ? "connection closed" : "no answer in time" };
        }
        return { kind: "listed", list };
    }

    private getList(): RunList {
        return {
            clock: this.now(),
            incarnation: this.incarnation,
            running: [...this.runs.values()].map(run => ({
                task: run.task,
                run: run.run,
                percent: this.getPercent(run),
            })),
            completions: [...this.completions],
        };
    }

    private getPercent(run: LeasedRun): number {
        const progressMs = Math.min(this.options.clock.now() - run.startedAt, run.stallAfterMs);
        return Math.min(99, Math.floor(100 * progressMs / this.options.getRunMs(run.task)));
    }

    private extendLease(until: Milliseconds): void {
        this.leaseUntil = Math.max(this.leaseUntil, Math.min(until, this.now() + longestLeaseMs));
    }

    private checkLease(): void {
        if (this.now() > this.leaseUntil) {
            this.endAllRuns();
        }
    }

    private completeRun(run: LeasedRun, how: RunResult): void {
        if (this.runs.get(getKey(run)) !== run) {
            return;
        }
        run.cancelCompletion();
        this.runs.delete(getKey(run));
        this.usedResources = subtractResources(this.usedResources, run.resources);
        this.lastRuns.set(run.task, Math.max(run.run, this.lastRuns.get(run.task) ?? 0));
        this.completions.push({ number: this.nextCompletion++, task: run.task, run: run.run, how });
        this.options.onCompletion(run.task, run.run, how);
        this.waiters.splice(0).forEach(resolve => resolve());
    }
}

const getKey = ({ task, run }: Pick<LeasedRun, "task" | "run">): string => `${task} ${run}`;
