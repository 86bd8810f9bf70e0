/**
 * A worker that grants leases and lists its runs, in memory and on a given clock: fencing, run numbers, late orders,
 * ends listed until they are taken note of, and lives. Faults are switched on by fields.
 */

import type { Clock, Milliseconds, Timers, Unsubscribe } from "@anvilmux/common";
import { addRoom, fits, subtractRoom } from "@anvilmux/dispatch";
import type {
    Room,
    RunEnd,
    StartAnswer,
    StartOrder,
    TaskName,
    WatchAnswer,
    WatchOrder,
    WorkerAnnouncement,
    WorkerDriver,
    WorkerList,
} from "@anvilmux/dispatch";

interface LeasedRun {
    readonly task: TaskName;
    readonly run: number;
    readonly room: Room;
    readonly beganAt: Milliseconds;
    /** Time after which it makes no progress. */
    readonly frozenAfterMs: Milliseconds;
    cancelEnd: Unsubscribe;
}

interface ListedEnd {
    readonly number: number;
    readonly task: TaskName;
    readonly run: number;
    readonly how: RunEnd;
}

export interface LeasedWorkerOptions {
    readonly announcement: WorkerAnnouncement;
    readonly clock: Clock;
    readonly timers: Timers;
    /** Run time of a task. */
    readonly getRunMs: (task: TaskName) => Milliseconds;
    /** What a task takes. */
    readonly getRoom: (task: TaskName) => Room;
    /** Told of each begin and end of a run, to check promises over all workers. */
    readonly onBegin: (task: TaskName, run: number) => void;
    readonly onEnd: (task: TaskName, run: number, how: RunEnd) => void;
}

/** Longest lease, on the worker's own clock. */
const longestLeaseMs = 1_000;
const leaseCheckMs = 10;
const stopMs = 20;
const exchangeMs = 1;

export class LeasedWorker {
    /** Every call goes unanswered and is not carried out. */
    isCutOff = false;
    /** Start orders go unanswered and are carried out after this time; 0 carries them out at once. */
    orderDelayMs: Milliseconds = 0;
    /** Time that answers to watches travel; answers on other connections overtake them. */
    listTravelMs: Milliseconds = 0;
    /** Time that start orders travel; watches on other connections overtake them. */
    startTravelMs: Milliseconds = 1;
    /** So many waiting watches are carried out and go unanswered. */
    unansweredWatches = 0;
    failsAll = false;
    /** Tasks that begin now stand still after this time. */
    standstillAfterMs: Milliseconds = Infinity;
    /** Rate of the worker's clock. */
    clockRate = 1;
    private readonly runs = new Map<TaskName, LeasedRun>();
    private readonly lastRuns = new Map<TaskName, number>();
    private ends: ListedEnd[] = [];
    private nextEnd = 1;
    private fence = 0;
    private leaseUntil: Milliseconds = 0;
    private used: Room = { millicores: 0, memoryMebibytes: 0, accelerators: 0 };
    private incarnation: number;
    private waiters: (() => void)[] = [];

    constructor(private readonly options: LeasedWorkerOptions) {
        this.incarnation = options.announcement.incarnation;
        options.timers.every(leaseCheckMs, () => this.checkLease());
    }

    get announcement(): WorkerAnnouncement {
        return { ...this.options.announcement, incarnation: this.incarnation };
    }

    get runningCount(): number {
        return this.runs.size;
    }

    get highestFence(): number {
        return this.fence;
    }

    get unseenEnds(): number {
        return this.ends.length;
    }

    /** Crashes and starts again under the same id and address. */
    beginNewLife(): void {
        [...this.runs.values()].forEach(run => this.end(run, "lapsed"));
        this.incarnation += 1;
        this.ends = [];
        this.nextEnd = 1;
        this.fence = 0;
        this.lastRuns.clear();
    }

    connect(): WorkerDriver {
        return {
            start: order => this.start(order),
            stop: (task, run, fence) => this.stop(task, run, fence),
            watch: order => this.watch(order),
            close: () => undefined,
        };
    }

    private now(): Milliseconds {
        return this.options.clock.now() * this.clockRate;
    }

    private wait(duration: Milliseconds): Promise<void> {
        return new Promise(resolve => this.options.timers.after(duration, resolve));
    }

    private async start(order: StartOrder): Promise<StartAnswer> {
        await this.wait(this.startTravelMs);
        if (this.isCutOff || this.orderDelayMs > 0) {
            if (!this.isCutOff) {
                this.options.timers.after(this.orderDelayMs, () => void this.carryOut(order));
            }
            await this.wait(300);
            return { kind: "unanswered", reason: "no answer in time" };
        }
        return this.carryOut(order);
    }

    private carryOut(order: StartOrder): StartAnswer {
        if (order.fence < this.fence) {
            return { kind: "refused", reason: "fence", clock: this.now() };
        }
        this.fence = order.fence;
        if (this.now() > order.deadline) {
            return { kind: "refused", reason: "late", clock: this.now() };
        }
        this.extendLease(order.deadline);
        if (this.runs.get(order.task)?.run === order.run) {
            return { kind: "started", clock: this.now() };
        }
        if (order.run <= (this.lastRuns.get(order.task) ?? 0)) {
            return { kind: "refused", reason: "old", clock: this.now() };
        }
        const room = this.options.getRoom(order.task);
        if (!fits(subtractRoom(this.options.announcement.room, this.used), room)) {
            return { kind: "refused", reason: "room", clock: this.now() };
        }
        this.begin(order, room);
        return { kind: "started", clock: this.now() };
    }

    private begin(order: StartOrder, room: Room): void {
        const run: LeasedRun = {
            task: order.task,
            run: order.run,
            room,
            beganAt: this.options.clock.now(),
            frozenAfterMs: this.standstillAfterMs,
            cancelEnd: () => undefined,
        };
        this.runs.set(order.task, run);
        this.used = addRoom(this.used, room);
        this.options.onBegin(order.task, order.run);
        const runMs = this.options.getRunMs(order.task);
        if (runMs <= run.frozenAfterMs) {
            const how = this.failsAll ? "failed" : "done";
            run.cancelEnd = this.options.timers.after(runMs, () => this.end(run, how));
        }
    }

    private async stop(task: TaskName, run: number, fence: number): Promise<boolean> {
        await this.wait(exchangeMs);
        if (this.isCutOff || fence < this.fence) {
            return false;
        }
        this.lastRuns.set(task, Math.max(run, this.lastRuns.get(task) ?? 0));
        const present = this.runs.get(task);
        if (present?.run === run) {
            present.cancelEnd();
            present.cancelEnd = this.options.timers.after(stopMs, () => this.end(present, "stopped"));
        }
        return true;
    }

    private async watch(order: WatchOrder): Promise<WatchAnswer> {
        await this.wait(exchangeMs);
        if (this.isCutOff) {
            await this.wait(order.timeoutMs);
            return { kind: "unanswered", reason: "no answer in time" };
        }
        if (order.fence < this.fence) {
            return { kind: "refused", reason: "fence" };
        }
        this.fence = order.fence;
        this.ends = this.ends.filter(end => end.number > order.lastSeen);
        if (order.leaseUntil !== undefined) {
            this.extendLease(order.leaseUntil);
        }
        if (order.waitMs > 0 && this.unansweredWatches > 0) {
            this.unansweredWatches -= 1;
            await this.wait(order.timeoutMs);
            return { kind: "unanswered", reason: "no answer in time" };
        }
        if (this.ends.length === 0 && order.waitMs > 0) {
            await Promise.race([this.wait(order.waitMs), new Promise<void>(resolve => this.waiters.push(resolve))]);
        }
        const list = this.getList();
        if (this.listTravelMs > 0) {
            await this.wait(this.listTravelMs);
        }
        return this.isCutOff ? { kind: "unanswered", reason: "no answer in time" } : { kind: "listed", list };
    }

    private getList(): WorkerList {
        return {
            clock: this.now(),
            incarnation: this.incarnation,
            running: [...this.runs.values()].map(run => ({
                task: run.task,
                run: run.run,
                percent: this.getPercent(run),
            })),
            ends: [...this.ends],
        };
    }

    private getPercent(run: LeasedRun): number {
        const workedMs = Math.min(this.options.clock.now() - run.beganAt, run.frozenAfterMs);
        return Math.min(99, Math.floor(100 * workedMs / this.options.getRunMs(run.task)));
    }

    private extendLease(until: Milliseconds): void {
        this.leaseUntil = Math.max(this.leaseUntil, Math.min(until, this.now() + longestLeaseMs));
    }

    private checkLease(): void {
        if (this.now() > this.leaseUntil) {
            [...this.runs.values()].forEach(run => this.end(run, "lapsed"));
        }
    }

    private end(run: LeasedRun, how: RunEnd): void {
        if (this.runs.get(run.task) !== run) {
            return;
        }
        run.cancelEnd();
        this.runs.delete(run.task);
        this.used = subtractRoom(this.used, run.room);
        this.lastRuns.set(run.task, Math.max(run.run, this.lastRuns.get(run.task) ?? 0));
        this.ends.push({ number: this.nextEnd++, task: run.task, run: run.run, how });
        this.options.onEnd(run.task, run.run, how);
        this.waiters.splice(0).forEach(resolve => resolve());
    }
}
