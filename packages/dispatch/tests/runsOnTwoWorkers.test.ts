/** The shortest sequences of faults in which an owner could start a task while a run of it goes on at another worker. */

import { sleep } from "@anvilmux/common";
import type { Milliseconds } from "@anvilmux/common";
import { orderTimeoutMs, takeoverUncertaintyMs } from "@anvilmux/dispatch";
import type { ConnectWorker, TaskScheduler } from "@anvilmux/dispatch";
import type { LeasedWorker } from "@anvilmux/stand-ins";
import { SchedulerFixture } from "./schedulerFixture";
import { StallingTimers } from "./simulation/StallingTimers";

/** Calls of one owner, of which some go unanswered. */
class OwnerCalls {
    /** Workers to which no call gets. */
    readonly cutWorkers = new Set<string>();
    /** Number of starts whose connections are refused. */
    refusedStarts = 0;
    /** Workers to which starts were ordered. */
    readonly startTargets: string[] = [];
    private openWatches: (() => void)[] = [];

    constructor(private readonly fixture: SchedulerFixture) {}

    readonly connect: ConnectWorker = target => {
        const driver = this.fixture.connect(target);
        const { time } = this.fixture;
        const isCut = () => this.cutWorkers.has(target.id);
        const getUnanswered = async (timeoutMs: Milliseconds) => {
            await sleep(time, timeoutMs);
            return { kind: "unanswered", reason: "no answer in time" } as const;
        };
        return {
            ...driver,
            start: async order => {
                this.startTargets.push(target.id);
                if (this.refusedStarts > 0) {
                    this.refusedStarts -= 1;
                    return { kind: "unanswered", reason: "connection refused", isRefused: true };
                }
                return await (isCut() ? getUnanswered(orderTimeoutMs) : driver.start(order));
            },
            watch: order =>
                isCut()
                    ? getUnanswered(order.timeoutMs)
                    : Promise.race([driver.watch(order), this.waitForBreak()]),
        };
    };

    /** Breaks the connections on which watches wait. */
    breakWatches(): void {
        this.openWatches.splice(0).forEach(resolve => resolve());
    }

    private async waitForBreak() {
        await new Promise<void>(resolve => this.openWatches.push(resolve));
        return { kind: "unanswered", reason: "connection closed" } as const;
    }
}

const noRoom = { millicores: 0, memoryMebibytes: 0, accelerators: 0 };

/** Tells an owner of a worker that it has no room, so that the other one is chosen. */
const hideRoom = (scheduler: TaskScheduler, { announcement }: LeasedWorker): void =>
    scheduler.setWorker({ ...announcement, room: noRoom });

const showRoom = (scheduler: TaskScheduler, { announcement }: LeasedWorker): void => scheduler.setWorker(announcement);

describe("a task does not run on two workers at the same time", () => {
    test("when a job comes anew to an owner that has not seen the list of the worker that runs it", async () => {
        const fixture = new SchedulerFixture(2);
        const { time } = fixture;
        const first = fixture.newScheduler(1);
        await time.advance(20);
        const request = fixture.newJob("a", { runMs: 600 });
        fixture.submit(first, request);
        await time.advance(20);
        const [running, idle] = fixture.workers[0]!.runningCount > 0 ? fixture.workers : [...fixture.workers].reverse();
        first.stop();
        const calls = new OwnerCalls(fixture);
        calls.cutWorkers.add(running!.announcement.id);
        const second = fixture.newScheduler(2, () => 2, calls.connect);
        await time.advance(20);
        expect(idle!.highestFencingToken).toBe(2);
        fixture.submit(second, request);
        await time.advance(300);
        expect(fixture.doubleRuns).toEqual([]);
    });

    test("when a lease of an earlier owner goes on after the grants of an owner that was listed runs by a poll", async () => {
        const fixture = new SchedulerFixture(2);
        const { time } = fixture;
        const first = fixture.newScheduler(1);
        await time.advance(480);
        first.stop();
        let token = 2;
        const calls = new OwnerCalls(fixture);
        calls.cutWorkers.add("worker-1");
        const second = fixture.newScheduler(2, () => token, calls.connect);
        const [worker, other] = fixture.workers as [LeasedWorker, LeasedWorker];
        hideRoom(second, other);
        await time.advance(360);
        calls.cutWorkers.clear();
        token = 3;
        second.handleTokenRaised();
        await time.advance(5);
        fixture.submit(second, fixture.newJob("a", { runMs: 600, remainingMs: 3_000 }));
        await time.advance(5);
        expect(worker.runningCount).toBe(1);
        calls.cutWorkers.add("worker-1");
        showRoom(second, other);
        await time.advance(500);
        expect(worker.runningCount).toBe(1);
        expect(fixture.doubleRuns).toEqual([]);
    });

    test("when a start reaches the next incarnation of its worker after that one was listed", async () => {
        const fixture = new SchedulerFixture(2);
        const { time } = fixture;
        const calls = new OwnerCalls(fixture);
        const scheduler = fixture.newScheduler(1, () => 1, calls.connect);
        const [worker, other] = fixture.workers as [LeasedWorker, LeasedWorker];
        hideRoom(scheduler, other);
        await time.advance(20);
        worker.startLatencyMs = 60;
        fixture.submit(scheduler, fixture.newJob("a", { runMs: 600 }));
        await time.advance(5);
        worker.restart();
        calls.breakWatches();
        hideRoom(scheduler, worker);
        showRoom(scheduler, other);
        await time.advance(300);
        expect(worker.runningCount).toBe(1);
        expect(fixture.doubleRuns).toEqual([]);
    });

    test("when a job comes to an owner that was listed a worker's runs before another owner started it there", async () => {
        const fixture = new SchedulerFixture(2);
        const { time } = fixture;
        const calls = new OwnerCalls(fixture);
        let token = 1;
        const lower = fixture.newScheduler(1, () => token);
        fixture.handleOutranked = claim => {
            token = claim + 1;
            lower.handleTokenRaised();
        };
        await time.advance(20);
        calls.cutWorkers.add("worker-2");
        const higher = fixture.newScheduler(2, () => 2, calls.connect);
        await time.advance(takeoverUncertaintyMs + 100);
        const request = fixture.newJob("a", { runMs: 600 });
        fixture.submit(higher, request);
        await time.advance(20);
        expect(fixture.workers[0]!.runningCount).toBe(1);
        expect(fixture.workers[1]!.highestFencingToken).toBe(1);
        // The lower owner's view of the worker's room leaves it the other worker.
        hideRoom(lower, fixture.workers[0]!);
        fixture.submit(lower, { ...request, resubmitted: true, hadOtherOwner: true, highestClaim: 2 });
        await time.advance(300);
        expect(fixture.doubleRuns).toEqual([]);
    });

    test("when a worker lists a run of another owner with a lower number than the run that its owner ordered", async () => {
        const fixture = new SchedulerFixture(2);
        const { time } = fixture;
        const calls = new OwnerCalls(fixture);
        let token = 1;
        const first = fixture.newScheduler(1, () => token, calls.connect);
        await time.advance(20);
        const request = fixture.newJob("a", { runMs: 600, objectiveMs: 9_000, remainingMs: 9_000 });
        // The first run is not started anywhere; the second is ordered by a call that is lost.
        calls.refusedStarts = 1;
        calls.cutWorkers.add("worker-1").add("worker-2");
        fixture.submit(first, request);
        await time.advance(5);
        const [refusing, worker] = calls.startTargets;
        expect(worker).not.toBe(refusing);
        await time.advance(150);
        const second = fixture.newScheduler(2, () => 2);
        hideRoom(second, fixture.workers.find(({ announcement }) => announcement.id === refusing)!);
        await time.advance(20);
        fixture.submit(second, { ...request, resubmitted: true, hadOtherOwner: true });
        await time.advance(20);
        expect(fixture.startedTasks).toEqual(["a.0"]);
        calls.cutWorkers.clear();
        token = 3;
        first.handleTokenRaised();
        await time.advance(300);
        expect(fixture.doubleRuns).toEqual([]);
    });

    test("when an owner that did not run for seconds starts the jobs that it had, which another owner has by now", async () => {
        const fixture = new SchedulerFixture(2);
        const { time } = fixture;
        const timers = new StallingTimers(time);
        const former = fixture.newScheduler(1, () => 1, fixture.connect, { timers });
        const [worker, other] = fixture.workers as [LeasedWorker, LeasedWorker];
        hideRoom(former, worker);
        hideRoom(former, other);
        await time.advance(20);
        const request = fixture.newJob("a", { runMs: 900, objectiveMs: 9_000, remainingMs: 9_000 });
        fixture.submit(former, request);
        timers.stalledUntil = time.now() + takeoverUncertaintyMs + 800;
        await time.advance(600);
        const calls = new OwnerCalls(fixture);
        calls.cutWorkers.add("worker-1");
        const next = fixture.newScheduler(2, () => 2, calls.connect);
        fixture.submit(next, { ...request, resubmitted: true, hadOtherOwner: true });
        await time.advance(takeoverUncertaintyMs + 100);
        expect(other.runningCount).toBe(1);
        showRoom(former, worker);
        await time.advance(800);
        expect(fixture.doubleRuns).toEqual([]);
    });

    test("when a start that was given up reaches the next incarnation of its worker, whose clock began anew", async () => {
        const fixture = new SchedulerFixture(2, 480_000);
        const { time } = fixture;
        const calls = new OwnerCalls(fixture);
        const scheduler = fixture.newScheduler(1, () => 1, calls.connect);
        const [worker, other] = fixture.workers as [LeasedWorker, LeasedWorker];
        hideRoom(scheduler, other);
        await time.advance(20);
        worker.startLatencyMs = 1_500;
        fixture.submit(scheduler, fixture.newJob("a", { runMs: 600, objectiveMs: 9_000, remainingMs: 9_000 }));
        await time.advance(5);
        calls.cutWorkers.add("worker-1");
        calls.breakWatches();
        await time.advance(700);
        worker.restart();
        showRoom(scheduler, other);
        await time.advance(1_000);
        expect(worker.runningCount).toBe(1);
        expect(fixture.doubleRuns).toEqual([]);
    });

    test("when a start is carried out seconds late and its deadline counts from its arrival", async () => {
        const fixture = new SchedulerFixture(2);
        const { time } = fixture;
        let isHeld = false;
        const lateMs = 2_000;
        const connect: ConnectWorker = target => {
            const driver = fixture.connect(target);
            return {
                ...driver,
                start: async order => {
                    if (!isHeld) {
                        return await driver.start(order);
                    }
                    isHeld = false;
                    time.after(lateMs, () => void driver.start({ ...order, deadline: order.deadline + lateMs }));
                    await sleep(time, orderTimeoutMs);
                    return { kind: "unanswered", reason: "no answer in time" };
                },
            };
        };
        const scheduler = fixture.newScheduler(1, () => 1, connect);
        await time.advance(20);
        isHeld = true;
        fixture.submit(scheduler, fixture.newJob("a", { runMs: 3_000, objectiveMs: 9_000, remainingMs: 9_000 }));
        await time.advance(lateMs + 100);
        expect(fixture.startedTasks).not.toEqual([]);
        expect(fixture.doubleRuns).toEqual([]);
    });
});
