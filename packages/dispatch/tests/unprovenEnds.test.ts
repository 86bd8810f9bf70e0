/** Sequences in which an owner takes a run for one that is over, or that does not exist, without proof of it. */

import { sleep } from "@anvilmux/common";
import type { Milliseconds, VirtualTime } from "@anvilmux/common";
import { chooseBestFit, orderTimeoutMs, takeoverUncertaintyMs, TaskScheduler } from "@anvilmux/dispatch";
import type { ConnectWorker } from "@anvilmux/dispatch";
import type { LeasedWorker } from "@anvilmux/stand-ins";
import { Metrics, newSilentLogger } from "@anvilmux/telemetry";
import { SchedulerFixture } from "./schedulerFixture";
import { StallingTimers } from "./simulation/StallingTimers";

const noRoom = { millicores: 0, memoryMebibytes: 0, accelerators: 0 };

const hideRoom = (scheduler: TaskScheduler, { announcement }: LeasedWorker): void =>
    scheduler.setWorker({ ...announcement, room: noRoom });

const remoteZone = (submitted: string[]) => ({
    zone: "eire-cork",
    free: { desk: [16_000] },
    submit: ({ tasks }: { readonly tasks: readonly { readonly name: string; }[]; }) => {
        submitted.push(...tasks.map(({ name }) => name));
        return true;
    },
    cancel: () => undefined,
});

/** Calls that do not get to one worker while `isCut` is true. */
const cutOff = (fixture: SchedulerFixture, worker: LeasedWorker, isCut: () => boolean): ConnectWorker => target => {
    const driver = fixture.connect(target);
    const isLost = () => target.id === worker.announcement.id && isCut();
    const getUnanswered = async (timeoutMs: Milliseconds) => {
        await sleep(fixture.time, timeoutMs);
        return { kind: "unanswered", reason: "no answer in time" } as const;
    };
    return {
        ...driver,
        start: order => isLost() ? getUnanswered(orderTimeoutMs) : driver.start(order),
        stop: async (...order) => !isLost() && await driver.stop(...order),
        watch: order => isLost() ? getUnanswered(order.timeoutMs) : driver.watch(order),
    };
};

/** An answer that a stalled process reads when it runs again, after its due timers. */
const holdWhileStalled = async <Answer>(time: VirtualTime, timers: StallingTimers, answer: Promise<Answer>) => {
    const result = await answer;
    if (timers.stalledUntil > time.now()) {
        await sleep(time, timers.stalledUntil - time.now() + 1);
    }
    return result;
};

describe("a run is not taken for one that does not exist", () => {
    test("by a new owner whose first list of the worker has a row that could not be read", async () => {
        const fixture = new SchedulerFixture(2);
        const { time } = fixture;
        const former = fixture.newScheduler(1);
        await time.advance(20);
        const request = fixture.newJob("a", { runMs: 600, objectiveMs: 9_000 });
        fixture.submit(former, request);
        await time.advance(20);
        const running = fixture.workers.find(({ runningCount }) => runningCount > 0)!;
        former.stop();
        const connect: ConnectWorker = target => {
            const driver = fixture.connect(target);
            return {
                ...driver,
                watch: async order => {
                    const answer = await driver.watch(order);
                    return target.id === running.announcement.id && answer.kind === "listed"
                        ? { ...answer, list: { ...answer.list, running: [], isIncomplete: true } }
                        : answer;
                },
            };
        };
        const next = fixture.newScheduler(2, () => 2, connect);
        await time.advance(20);
        hideRoom(next, running);
        fixture.submit(next, request, "another entry");
        await time.advance(300);
        expect(fixture.doubleRuns).toEqual([]);
    });

    test("by a new owner of a job whose former owner forwarded it to another zone, when it comes through another entry", async () => {
        const fixture = new SchedulerFixture(1);
        const { time } = fixture;
        const former = fixture.newScheduler(1);
        await time.advance(20);
        const forwarded: string[] = [];
        fixture.remoteSchedulers = [remoteZone(forwarded)];
        const request = fixture.newJob("a", { tasks: 3, runMs: 100, objectiveMs: 9_000 });
        fixture.submit(former, request);
        await time.advance(30);
        expect(forwarded).toEqual(["a.2"]);
        former.stop();
        fixture.remoteSchedulers = [];
        const next = fixture.newScheduler(2);
        await time.advance(20);
        fixture.submit(next, request, "another entry");
        await time.advance(200);
        // The other zone learns of the loss by its heartbeats at the earliest, and then stops the task.
        expect(fixture.startedTasks).not.toContain("a.2");
    });

    test("by a new owner of a job that its former owner answered as unknown for tasks in a zone out of reach", async () => {
        const fixture = new SchedulerFixture(1);
        const { time } = fixture;
        const former = fixture.newScheduler(1);
        await time.advance(20);
        const forwarded: string[] = [];
        fixture.remoteSchedulers = [remoteZone(forwarded)];
        const request = fixture.newJob("a", { tasks: 3, runMs: 100, objectiveMs: 9_000 });
        fixture.submit(former, request);
        await time.advance(30);
        expect(forwarded).toEqual(["a.2"]);
        fixture.remoteSchedulers = [];
        former.handleRemoteDisconnected("eire-cork");
        expect(fixture.answers.get("a")?.kind).toBe("unknown");
        former.stop();
        const next = fixture.newScheduler(2);
        await time.advance(20);
        fixture.submit(next, request, "another entry");
        await time.advance(200);
        expect(fixture.startedTasks).not.toContain("a.2");
    });

    test("by a new owner that knows no worker yet and forwards the task to another zone", async () => {
        const fixture = new SchedulerFixture(1);
        const { time } = fixture;
        const former = fixture.newScheduler(1);
        await time.advance(20);
        const request = fixture.newJob("a", { runMs: 600, objectiveMs: 9_000 });
        fixture.submit(former, request);
        await time.advance(20);
        former.stop();
        const forwarded: string[] = [];
        fixture.remoteSchedulers = [remoteZone(forwarded)];
        const workers = fixture.workers.splice(0);
        const next = fixture.newScheduler(2);
        fixture.submit(next, request, "another entry");
        await time.advance(100);
        expect(workers[0]!.runningCount).toBe(1);
        expect(forwarded).toEqual([]);
    });

    test("by a new owner that knows no worker yet and refuses the job", async () => {
        const fixture = new SchedulerFixture(1);
        const { time } = fixture;
        const former = fixture.newScheduler(1);
        await time.advance(20);
        const request = fixture.newJob("a", { runMs: 600, objectiveMs: 9_000 });
        fixture.submit(former, request);
        await time.advance(20);
        former.stop();
        const workers = fixture.workers.splice(0);
        const next = fixture.newScheduler(2);
        fixture.submit(next, { ...request, objectiveMs: 100 }, "another entry");
        await time.advance(200);
        expect(workers[0]!.runningCount).toBe(1);
        expect(fixture.answers.get("a")?.kind).not.toBe("refused");
    });
});

describe("a task is not started", () => {
    test("by an owner that a worker refused for a higher token, on a worker that has forgotten that token", async () => {
        const fixture = new SchedulerFixture(2);
        const { time } = fixture;
        const [worker, other] = fixture.workers as [LeasedWorker, LeasedWorker];
        const former = fixture.newScheduler(1);
        await time.advance(20);
        const request = fixture.newJob("a", { runMs: 600, objectiveMs: 9_000 });
        const next = fixture.newScheduler(2);
        hideRoom(next, worker);
        hideRoom(former, other);
        await time.advance(470);
        expect(fixture.fencedTokens).toContain(1);
        worker.restart();
        fixture.submit(former, request);
        await time.advance(120);
        fixture.submit(next, request, "another entry");
        await time.advance(100);
        expect(fixture.doubleRuns).toEqual([]);
    });

    test("while a former owner that reaches only the run's worker, which its successor does not, extends that worker's lease", async () => {
        const fixture = new SchedulerFixture(2);
        const { time } = fixture;
        const [worker, other] = fixture.workers as [LeasedWorker, LeasedWorker];
        const former = fixture.newScheduler(1, () => 1, cutOff(fixture, other, () => time.now() > 30));
        hideRoom(former, other);
        await time.advance(20);
        const request = fixture.newJob("a", { runMs: 3_000, objectiveMs: 9_000, remainingMs: 9_000 });
        fixture.submit(former, request);
        await time.advance(20);
        const next = fixture.newScheduler(2, () => 2, cutOff(fixture, worker, () => true));
        await time.advance(100);
        fixture.submit(next, { ...request, resubmitted: true, hadOtherOwner: true }, "another entry");
        await time.advance(takeoverUncertaintyMs + 200);
        expect(fixture.fencedTokens).toEqual([]);
        expect(fixture.doubleRuns).toEqual([]);
    });

    test("by a former owner that did not run for seconds, on a worker that does not know its successor's token", async () => {
        const fixture = new SchedulerFixture(3);
        const { time } = fixture;
        const [worker, silent, other] = fixture.workers as [LeasedWorker, LeasedWorker, LeasedWorker];
        silent.isUnreachable = true;
        const timers = new StallingTimers(time);
        const former = new TaskScheduler({
            connect: target => {
                const driver = fixture.connect(target);
                return { ...driver, watch: order => holdWhileStalled(time, timers, driver.watch(order)) };
            },
            choose: chooseBestFit,
            getFencingToken: () => 1,
            onFenced: token => fixture.fencedTokens.push(token),
            onOutranked: () => undefined,
            getRemoteSchedulers: () => [],
            clock: time,
            timers,
            logger: newSilentLogger(),
            metrics: new Metrics(),
        });
        [worker, silent].forEach(({ announcement }) => former.setWorker(announcement));
        await time.advance(20);
        // It waits until leases that an earlier owner may have granted to the silent worker are over.
        const request = fixture.newJob("a", { runMs: 600, objectiveMs: 9_000, remainingMs: 9_000 });
        fixture.submit(former, request);
        await time.advance(20);
        timers.stalledUntil = time.now() + takeoverUncertaintyMs + 200;
        const next = fixture.newScheduler(2, () => 2, cutOff(fixture, worker, () => true));
        await time.advance(20);
        expect(other.highestFencingToken).toBe(2);
        fixture.submit(next, { ...request, resubmitted: true, hadOtherOwner: true }, "another entry");
        await time.advance(takeoverUncertaintyMs + 400);
        expect(fixture.doubleRuns).toEqual([]);
    });
});

test("a run goes on when a poll, not the watch that pauses, found its worker reachable again", async () => {
    const fixture = new SchedulerFixture(1);
    const { time } = fixture;
    const worker = fixture.workers[0]!;
    let isCut = true;
    let token = 1;
    const scheduler = fixture.newScheduler(1, () => token, cutOff(fixture, worker, () => isCut));
    await time.advance(2_600);
    isCut = false;
    token = 2;
    scheduler.handleTokenRaised();
    await time.advance(20);
    fixture.submit(scheduler, fixture.newJob("a", { runMs: 600, objectiveMs: 9_000, remainingMs: 9_000 }));
    await time.advance(20);
    expect(worker.runningCount).toBe(1);
    await time.advance(300);
    expect(worker.runningCount).toBe(1);
    expect(fixture.countStarts("a.0")).toBe(1);
});

test("a job goes on with a run that was found while the run it was placed with was being stopped", async () => {
    const fixture = new SchedulerFixture(2);
    const { time } = fixture;
    const [worker, other] = fixture.workers as [LeasedWorker, LeasedWorker];
    let areStopsLost = true;
    let hasOrderedStop = false;
    const scheduler = fixture.newScheduler(1, () => 1, target => {
        const driver = fixture.connect(target);
        return {
            ...driver,
            stop: async (...order) => {
                hasOrderedStop = true;
                return !areStopsLost && await driver.stop(...order);
            },
        };
    });
    hideRoom(scheduler, other);
    await time.advance(20);
    worker.stallAfterMs = 50;
    const request = fixture.newJob("a", { runMs: 1_000, objectiveMs: 30_000, remainingMs: 30_000 });
    fixture.submit(scheduler, request);
    for (let step = 0; step < 1_000 && !hasOrderedStop; step++) {
        await time.advance(10);
    }
    expect(hasOrderedStop).toBe(true);
    const { name: task } = request.tasks[0]!;
    void other.connect().start({ task, run: 2 ** 40, payload: "a", fencingToken: 1, deadline: time.now() + 100 });
    await time.advance(470);
    areStopsLost = false;
    await time.advance(3_000);
    expect(fixture.countStarts(task)).toBe(2);
    expect(fixture.answers.get("a")).toEqual({ kind: "completed" });
});

test("a lease of a late watch, which reaches the next incarnation of its worker, is not taken for one that has expired", async () => {
    const fixture = new SchedulerFixture(2, 480_000);
    const { time } = fixture;
    const [worker, other] = fixture.workers as [LeasedWorker, LeasedWorker];
    let isCut = false;
    const lateMs = 2_400;
    let lateWatches = 0;
    const cut = cutOff(fixture, worker, () => isCut);
    const scheduler = fixture.newScheduler(1, () => 1, target => {
        const driver = cut(target);
        return {
            ...driver,
            watch: async order => {
                if (target.id !== worker.announcement.id || order.leaseUntil === undefined || lateWatches > 0) {
                    return await driver.watch(order);
                }
                lateWatches += 1;
                time.after(lateMs, () => void fixture.connect(target).watch({ ...order, waitMs: 0 }));
                await sleep(time, order.timeoutMs);
                return { kind: "unanswered", reason: "no answer in time" };
            },
        };
    });
    hideRoom(scheduler, other);
    await time.advance(1_000);
    worker.restart();
    await time.advance(600);
    fixture.submit(scheduler, fixture.newJob("a", { runMs: 3_000, objectiveMs: 9_000, remainingMs: 9_000 }));
    await time.advance(20);
    expect(worker.runningCount).toBe(1);
    isCut = true;
    scheduler.setWorker(other.announcement);
    await time.advance(2_000);
    expect(fixture.startedTasks).not.toEqual([]);
    expect(fixture.doubleRuns).toEqual([]);
});
