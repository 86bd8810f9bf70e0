/**
 * Runs that nobody waits for any more: callers whose connections broke submit their jobs again after a while, in any zone, and
 * other zones do not know of these runs. They are over by then, whatever else their workers run.
 */

import { sleep, toJobId } from "@anvilmux/common";
import type { Milliseconds } from "@anvilmux/common";
import type { ConnectWorker, JobRequest, TaskScheduler } from "@anvilmux/dispatch";
import { SchedulerFixture } from "./schedulerFixture";

/** Time after which callers submit a job again whose connection broke. */
const callerReturnMs: Milliseconds = 1_300;
/** The slowest clock of a worker that is allowed; leases last longest there. */
const slowestClockRate = 0.98;
const callDelayMs: Milliseconds = 20;

const newJob = (fixture: SchedulerFixture, id: string): JobRequest =>
    fixture.newJob(id, { runMs: 4_000, objectiveMs: 9_000, remainingMs: 9_000 });

/** Calls to workers take a while each way, as through a busy relay. */
const newSlowCalls = (fixture: SchedulerFixture): ConnectWorker => target => {
    const driver = fixture.connect(target);
    const delay = async <Answer>(call: () => Promise<Answer>): Promise<Answer> => {
        await sleep(fixture.time, callDelayMs);
        return call();
    };
    return {
        ...driver,
        stop: (...order) => delay(() => driver.stop(...order)),
        watch: order => delay(() => driver.watch(order)),
    };
};

/** One worker that has run a task of job `a` for `runningMs`. */
const newRunningJob = async (
    newCalls: (fixture: SchedulerFixture) => ConnectWorker = newSlowCalls,
    runningMs = 300,
) => {
    const fixture = new SchedulerFixture(1);
    const [worker] = fixture.workers;
    worker!.clockRate = slowestClockRate;
    const connect = newCalls(fixture);
    const scheduler = fixture.newScheduler(1, () => 1, connect);
    await fixture.time.advance(200);
    fixture.submit(scheduler, newJob(fixture, "a"), "entry");
    await fixture.time.advance(runningMs);
    expect(fixture.isRunning("a.0")).toBe(true);
    return { fixture, scheduler, worker: worker!, connect };
};

/** Stops are never answered nor carried out. */
const withoutStops = (fixture: SchedulerFixture): ConnectWorker => target => ({
    ...fixture.connect(target),
    stop: () => Promise.resolve(false),
});

/** Submits short jobs all the while, so that the worker gets many starts. */
const submitShortJobs = (fixture: SchedulerFixture, scheduler: TaskScheduler, periodMs: Milliseconds) => {
    let number = 0;
    return fixture.time.every(periodMs, () => {
        number += 1;
        fixture.submit(scheduler, fixture.newJob(`short-${number}`, { runMs: 30, objectiveMs: 3_000 }), "other entry");
    });
};

/** Times after the end of an owner at which the next one begins. */
const restartTimes: readonly Milliseconds[] = Array.from({ length: 20 }, (_, index) => 50 * (index + 1));
/** Times for which the run has gone on when its owner ends, so that its last watch was sent at different times before. */
const runningTimes: readonly Milliseconds[] = [250, 300, 350, 400, 450, 500];

describe("a run that nobody waits for is over when its caller comes again", () => {
    test.each(restartTimes)(
        "guards against a lease that a new owner extends for a run without a job (next owner after %d ms)",
        async restartMs => {
            for (const runningMs of runningTimes) {
                const { fixture, scheduler, connect } = await newRunningJob(newSlowCalls, runningMs);
                scheduler.stop();
                await fixture.time.advance(restartMs);
                fixture.newScheduler(2, () => 2, connect);
                await fixture.time.advance(callerReturnMs - restartMs);
                expect(fixture.isRunning("a.0")).toBe(false);
            }
        },
    );

    test.each(restartTimes)(
        "guards against a lease that the second of two new owners extends (second after %d ms)",
        async restartMs => {
            for (const runningMs of runningTimes) {
                const { fixture, scheduler, connect } = await newRunningJob(newSlowCalls, runningMs);
                scheduler.stop();
                const secondMs = Math.max(0, restartMs - 300);
                await fixture.time.advance(secondMs);
                const second = fixture.newScheduler(2, () => 2, connect);
                await fixture.time.advance(restartMs - secondMs);
                second.stop();
                fixture.newScheduler(3, () => 3, connect);
                await fixture.time.advance(callerReturnMs - restartMs);
                expect(fixture.isRunning("a.0")).toBe(false);
            }
        },
    );

    test.each(restartTimes)(
        "guards against a lease that is extended for runs of a worker of which the new owner learns %d ms later",
        async unknownMs => {
            for (const runningMs of runningTimes) {
                const { fixture, scheduler, worker, connect } = await newRunningJob(newSlowCalls, runningMs);
                scheduler.stop();
                fixture.workers.length = 0;
                const next = fixture.newScheduler(2, () => 2, connect);
                await fixture.time.advance(unknownMs);
                fixture.workers.push(worker);
                next.setWorker(worker.announcement);
                await fixture.time.advance(callerReturnMs - unknownMs);
                expect(fixture.isRunning("a.0")).toBe(false);
            }
        },
    );

    test("guards against a lease that is extended for a run whose stop has no answer", async () => {
        const { fixture, scheduler } = await newRunningJob(withoutStops);
        scheduler.cancel(toJobId("a"), "entry", "its caller left");
        await fixture.time.advance(callerReturnMs);
        expect(fixture.isRunning("a.0")).toBe(false);
    });

    test("guards against starts that extend the lease of a run whose stop has no answer", async () => {
        const { fixture, scheduler } = await newRunningJob(withoutStops);
        const stopSubmitting = submitShortJobs(fixture, scheduler, 50);
        scheduler.cancel(toJobId("a"), "entry", "its caller left");
        await fixture.time.advance(callerReturnMs);
        stopSubmitting();
        expect(fixture.isRunning("a.0")).toBe(false);
        await fixture.time.advance(1_000);
        fixture.submit(scheduler, fixture.newJob("last", { objectiveMs: 3_000 }), "other entry");
        await fixture.time.advance(500);
        expect(fixture.answers.get("last")).toEqual({ kind: "completed" });
    });

    test("guards against a lease that is extended for the jobs of an entry that ended, when stops have no answer", async () => {
        const { fixture, scheduler } = await newRunningJob(withoutStops);
        scheduler.handleSubmitterDisconnected("entry");
        await fixture.time.advance(callerReturnMs);
        expect(fixture.isRunning("a.0")).toBe(false);
    });

    test("guards against tasks that are started for an entry that has ended", async () => {
        const { fixture, scheduler } = await newRunningJob();
        fixture.submit(scheduler, fixture.newJob("b", { tasks: 2, runMs: 100, objectiveMs: 9_000 }), "entry");
        fixture.submit(scheduler, fixture.newJob("c", { objectiveMs: 9_000 }), "entry");
        await fixture.time.advance(50);
        scheduler.handleSubmitterDisconnected("entry");
        await fixture.time.advance(1_000);
        expect(fixture.startedTasks).not.toContain("c.0");
    });
});

describe("a run whose caller waits goes on", () => {
    /** Two owners after each other; the job of the run, and another on the same worker, come again through living entries. */
    const changeOwner = async (returnMs: Milliseconds) => {
        const { fixture, scheduler, worker } = await newRunningJob();
        fixture.submit(scheduler, newJob(fixture, "b"), "entry");
        await fixture.time.advance(300);
        scheduler.stop();
        await fixture.time.advance(100);
        const next = fixture.newScheduler(2);
        fixture.submit(next, { ...newJob(fixture, "b"), resubmitted: true }, "next");
        await fixture.time.advance(returnMs);
        return { fixture, next, worker };
    };

    test.each([1, 20, 100, 250, 350])(
        "guards against a run that is lost in a change of owner when its job comes %d ms later",
        async returnMs => {
            const { fixture, next } = await changeOwner(returnMs);
            fixture.submit(next, { ...newJob(fixture, "a"), resubmitted: true }, "living entry");
            await fixture.time.advance(6_000);
            expect(fixture.answers.get("a")).toEqual({ kind: "completed" });
            expect(fixture.answers.get("b")).toEqual({ kind: "completed" });
            expect(fixture.startedTasks).toEqual(["a.0", "b.0"]);
        },
    );

    test("guards against runs that lapse beside one that nobody waits for", async () => {
        const { fixture } = await changeOwner(6_000);
        expect(fixture.answers.get("b")).toEqual({ kind: "completed" });
        expect(fixture.startedTasks).toEqual(["a.0", "b.0"]);
    });

    test("guards against a run that is lost while the entry of its job reconnects", async () => {
        const { fixture, scheduler } = await newRunningJob();
        scheduler.handleSubmitterDisconnected("entry");
        await fixture.time.advance(300);
        const again = { ...newJob(fixture, "a"), resubmitted: true, hadOtherOwner: false };
        fixture.submit(scheduler, again, "entry, connected again");
        await fixture.time.advance(6_000);
        expect(fixture.answers.get("a")).toEqual({ kind: "completed" });
        expect(fixture.startedTasks).toEqual(["a.0"]);
    });

    test("guards against runs that lapse while a run beside them is stopped as usual", async () => {
        const { fixture, scheduler } = await newRunningJob();
        fixture.submit(scheduler, newJob(fixture, "b"), "other entry");
        await fixture.time.advance(100);
        scheduler.cancel(toJobId("a"), "entry", "its caller left");
        await fixture.time.advance(6_000);
        expect(fixture.answers.get("b")).toEqual({ kind: "completed" });
        expect(fixture.startedTasks).toEqual(["a.0", "b.0"]);
    });
});
