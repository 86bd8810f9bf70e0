/**
 * The network between entries and workers under faults: a worker can be cut off from some entries, and calls to a worker
 * can go unanswered and be carried out seconds later, after newer calls, also by a later incarnation of the worker.
 */

import type { Milliseconds, Random, VirtualTime } from "@anvilmux/common";
import { orderTimeoutMs } from "@anvilmux/dispatch";
import type { StartOrder, Unanswered, WatchOrder, WorkerDriver, WorkerTarget } from "@anvilmux/dispatch";
import type { LeasedWorker } from "@anvilmux/stand-ins";
import type { StallingTimers } from "./StallingTimers";

/**
 * How calls fail across a cut. `silent`: requests are lost; `held`: like that, but some arrive when the cut ends;
 * `one-way`: requests arrive and answers are lost; `refused`: connections are refused; `reset`: connections are reset
 * before or after the request arrived.
 */
export type CutMode = "silent" | "held" | "one-way" | "refused" | "reset";

export interface Cut {
    readonly mode: CutMode;
    readonly until: Milliseconds;
}

/** Calls to a worker that are not answered and carried out late. */
export interface LateCalls {
    readonly until: Milliseconds;
    readonly share: number;
    readonly shortestMs: Milliseconds;
    readonly longestMs: Milliseconds;
    /** Deadlines and leases move by the delay. */
    readonly countsFromArrival: boolean;
}

/** An entry that makes calls. */
export interface NetworkCaller {
    readonly id: string;
    readonly timers: StallingTimers;
}

export interface WorkerNetworkOptions {
    readonly time: VirtualTime;
    readonly random: Random;
    readonly workers: readonly LeasedWorker[];
    readonly trace: (source: string, message: string) => void;
}

interface Call<Answer> {
    readonly name: string;
    readonly caller: NetworkCaller;
    readonly worker: LeasedWorker;
    readonly timeoutMs: Milliseconds;
    /** Makes the call at the worker; `late` for one that is carried out that much later. */
    readonly make: (driver: WorkerDriver, lateMs: Milliseconds | undefined) => Promise<Answer>;
    readonly toAnswer: (unanswered: Unanswered) => Answer;
}

interface OpenCall {
    readonly caller: string;
    readonly worker: LeasedWorker;
    readonly fail: (reason: string) => void;
}

const longestLatencyMs = 3;
const heldShare = 0.4;
/** Share of its timeout that a call is given once more by a process that stalled. */
const stallGraceShare = 0.25;
const noCut: Cut = { mode: "silent", until: 0 };

export class WorkerNetwork {
    private readonly cuts = new Map<string, Cut>();
    private readonly lateCalls = new Map<LeasedWorker, LateCalls>();
    private readonly openCalls = new Set<OpenCall>();

    constructor(private readonly options: WorkerNetworkOptions) {}

    cut(entry: string, worker: LeasedWorker, cut: Cut): void {
        this.options.trace(worker.announcement.id, `${cut.mode} cut from ${entry} until ${cut.until}`);
        this.cuts.set(getLink(entry, worker), cut);
        if (cut.mode === "refused" || cut.mode === "reset") {
            [...this.openCalls]
                .filter(call => call.caller === entry && call.worker === worker)
                .forEach(call => call.fail("connection reset"));
        }
    }

    delayCalls(worker: LeasedWorker, late: LateCalls): void {
        this.options.trace(worker.announcement.id, `calls are late until ${late.until}`);
        this.lateCalls.set(worker, late);
    }

    isCut(entry: string, worker: LeasedWorker): boolean {
        return this.getCut(entry, worker).until > 0;
    }

    /** Connects a process to a worker. */
    connect(caller: NetworkCaller, target: WorkerTarget): WorkerDriver {
        const worker = this.options.workers.find(({ announcement }) => announcement.id === target.id)!;
        const toAnswer = (unanswered: Unanswered) => unanswered;
        return {
            start: async order =>
                await this.call({
                    name: `start of ${order.task} as ${order.run}, token ${order.fencingToken}`,
                    caller,
                    worker,
                    timeoutMs: orderTimeoutMs,
                    make: (driver, late) => driver.start(late === undefined ? order : delayStart(order, late)),
                    toAnswer,
                }),
            stop: async (task, run, fencingToken) =>
                await this.call({
                    name: `stop of ${task} as ${run}`,
                    caller,
                    worker,
                    timeoutMs: orderTimeoutMs,
                    make: driver => driver.stop(task, run, fencingToken),
                    toAnswer: () => false,
                }),
            watch: async order =>
                await this.call({
                    name: `watch, lease until ${order.leaseUntil}, token ${order.fencingToken}`,
                    caller,
                    worker,
                    timeoutMs: order.timeoutMs,
                    make: (driver, late) => driver.watch(late === undefined ? order : delayWatch(order, late)),
                    toAnswer,
                }),
            close: () => undefined,
        };
    }

    private call<Answer>(call: Call<Answer>): Promise<Answer> {
        const { caller: { id, timers }, worker, timeoutMs } = call;
        const { time } = this.options;
        return new Promise(resolve => {
            const settle = (answer: Answer) => {
                cancelTimeout();
                this.openCalls.delete(open);
                resolve(answer);
            };
            const fail = (reason: string, isRefused = false) =>
                settle(call.toAnswer({ kind: "unanswered", reason, ...isRefused ? { isRefused } : {} }));
            const expire = () => fail(`no answer in ${timeoutMs} ms`);
            const dueAt = time.now() + timeoutMs;
            let cancelTimeout = timers.after(timeoutMs, () => {
                // A process that stalled reads answers before it gives the call up.
                cancelTimeout = timers.after(time.now() > dueAt ? timeoutMs * stallGraceShare : 0, expire);
            });
            const open: OpenCall = {
                caller: id,
                worker,
                fail: reason => void timers.after(1, () => fail(reason)),
            };
            this.openCalls.add(open);
            this.send(call, settle, fail);
        });
    }

    private send<Answer>(
        call: Call<Answer>,
        settle: (answer: Answer) => void,
        fail: (reason: string, isRefused?: boolean) => void,
    ): void {
        const { caller, worker } = call;
        const { time, random } = this.options;
        const cut = this.getCut(caller.id, worker);
        if (cut.until > 0 && cut.mode === "refused") {
            caller.timers.after(1, () => fail("connection refused", true));
            return;
        }
        if (cut.until > 0 && cut.mode === "reset") {
            caller.timers.after(longestLatencyMs, () => fail("connection reset"));
            if (random.next() < 0.5) {
                time.after(1, () => this.carryOut(call, 1, undefined));
            }
            return;
        }
        if (cut.until > 0 && cut.mode !== "one-way") {
            if (cut.mode === "held" && random.next() < heldShare) {
                const heldMs = cut.until - time.now() + random.integer(200);
                time.after(heldMs, () => this.carryOut(call, heldMs, 0));
            }
            return;
        }
        const late = this.lateCalls.get(worker);
        if (late && late.until > time.now() && random.next() < late.share) {
            const lateMs = late.shortestMs + random.integer(late.longestMs - late.shortestMs);
            time.after(lateMs, () => this.carryOut(call, lateMs, late.countsFromArrival ? lateMs : 0));
            return;
        }
        time.after(this.drawLatency(), () => void this.exchange(call, settle, fail));
    }

    /** Carries out a call that is not answered. */
    private carryOut<Answer>(call: Call<Answer>, delayMs: Milliseconds, movedMs: Milliseconds | undefined): void {
        const { worker, caller, name } = call;
        this.options.trace(worker.announcement.id, `carried out ${delayMs} ms late, from ${caller.id}: ${name}`);
        void call.make(worker.connect(), movedMs);
    }

    private async exchange<Answer>(
        call: Call<Answer>,
        settle: (answer: Answer) => void,
        fail: (reason: string, isRefused?: boolean) => void,
    ): Promise<void> {
        const { caller, worker, name } = call;
        const { incarnation } = worker.announcement;
        const answer = await call.make(worker.connect(), undefined);
        if (name.startsWith("start")) {
            this.options.trace(worker.announcement.id, `from ${caller.id}: ${name}: ${JSON.stringify(answer)}`);
        }
        if (this.isCut(caller.id, worker)) {
            return;
        }
        const isSameLife = worker.announcement.incarnation === incarnation;
        caller.timers.after(this.drawLatency(), () => isSameLife ? settle(answer) : fail("connection closed"));
    }

    private getCut(entry: string, worker: LeasedWorker): Cut {
        const cut = this.cuts.get(getLink(entry, worker)) ?? noCut;
        return cut.until > this.options.time.now() ? cut : noCut;
    }

    private drawLatency(): Milliseconds {
        return 1 + this.options.random.integer(longestLatencyMs);
    }
}

const getLink = (entry: string, worker: LeasedWorker): string => `${entry} ${worker.announcement.id}`;

const delayStart = (order: StartOrder, lateMs: Milliseconds): StartOrder => ({
    ...order,
    deadline: order.deadline + lateMs,
});

/** Nobody waits for the answer, so the worker does not either. */
const delayWatch = (order: WatchOrder, lateMs: Milliseconds): WatchOrder => ({
    ...order,
    leaseUntil: order.leaseUntil === undefined ? undefined : order.leaseUntil + lateMs,
    waitMs: 0,
});
