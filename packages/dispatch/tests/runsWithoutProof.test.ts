/**
 * A task is started again only when its earlier run is certainly over: a worker that started again, an owner that is new
 * and a run that is found late do not count as proof of that.
 */

import { SchedulerFixture } from "./schedulerFixture";

/** Two workers, of which one runs a task whose owner has ended. */
const newFormerRun = async () => {
    const fixture = new SchedulerFixture(2);
    const former = fixture.newScheduler(1);
    await fixture.time.advance(20);
    const request = fixture.newJob("a", { runMs: 700, objectiveMs: 9_000 });
    fixture.submit(former, request);
    await fixture.time.advance(50);
    former.stop();
    return { fixture, request, worker: fixture.workers.find(({ runningCount }) => runningCount === 1)! };
};

describe("a run whose end is not certain", () => {
    test("a start that may reach the worker's next incarnation is not repeated on another worker", async () => {
        const fixture = new SchedulerFixture(2);
        const scheduler = fixture.newScheduler(1);
        await fixture.time.advance(20);
        fixture.submit(scheduler, fixture.newJob("other", { runMs: 3_000, objectiveMs: 9_000 }));
        await fixture.time.advance(20);
        const worker = fixture.workers.find(({ runningCount }) => runningCount === 1)!;
        worker.startLatencyMs = 40;
        fixture.submit(scheduler, fixture.newJob("a", { runMs: 800, objectiveMs: 9_000 }));
        await fixture.time.advance(10);
        worker.restart();
        await fixture.time.advance(6_000);
        expect(fixture.doubleRuns).toEqual([]);
        expect(fixture.answers.get("a")).toEqual({ kind: "completed" });
    });

    test("a job sent again through another entry is not started while a worker has not listed its runs", async () => {
        const { fixture, request, worker } = await newFormerRun();
        worker.isUnreachable = true;
        const next = fixture.newScheduler(2);
        await fixture.time.advance(100);
        fixture.submit(next, request, "another entry");
        await fixture.time.advance(4_000);
        expect(fixture.doubleRuns).toEqual([]);
        expect(fixture.answers.get("a")).toEqual({ kind: "completed" });
    });

    test("a job that arrives right after a change of owner is not started before all workers listed their runs", async () => {
        const { fixture, request, worker } = await newFormerRun();
        worker.listLatencyMs = 30;
        const next = fixture.newScheduler(2);
        await fixture.time.advance(5);
        fixture.submit(next, request, "another entry");
        await fixture.time.advance(2_000);
        expect(fixture.doubleRuns).toEqual([]);
        expect(fixture.answers.get("a")).toEqual({ kind: "completed" });
    });

    test("a job that a new owner could not start is not refused as not run while a worker may run it", async () => {
        const { fixture, request, worker } = await newFormerRun();
        worker.isUnreachable = true;
        const next = fixture.newScheduler(2);
        await fixture.time.advance(100);
        fixture.submit(next, { ...request, remainingMs: 300 }, "another entry");
        await fixture.time.advance(500);
        expect(fixture.answers.get("a")?.kind).toBe("unknown");
    });

    test("a job sent again waits for the end of its tasks in a zone that is out of reach", async () => {
        const fixture = new SchedulerFixture(1);
        const scheduler = fixture.newScheduler(1);
        await fixture.time.advance(20);
        fixture.remoteSchedulers = [{
            zone: "eire-cork",
            free: { desk: [16_000] },
            submit: () => true,
            cancel: () => undefined,
        }];
        const request = fixture.newJob("a", { tasks: 3, runMs: 100, objectiveMs: 9_000 });
        fixture.submit(scheduler, request);
        await fixture.time.advance(30);
        expect(fixture.remoteJobs).toEqual(["a"]);
        fixture.remoteSchedulers = [];
        scheduler.handleRemoteDisconnected("eire-cork");
        expect(fixture.answers.get("a")?.kind).toBe("unknown");
        await fixture.time.advance(1_300);
        fixture.submit(scheduler, request, "another entry");
        await fixture.time.advance(300);
        expect(fixture.startedTasks).not.toContain("a.2");
        await fixture.time.advance(1_000);
        expect(fixture.answers.get("a")).toEqual({ kind: "completed" });
    });

    test("the end of one of two runs of a task leaves the other one known", async () => {
        const fixture = new SchedulerFixture(3);
        const scheduler = fixture.newScheduler(1);
        await fixture.time.advance(20);
        const request = fixture.newJob("a", { runMs: 900, objectiveMs: 9_000 });
        const order = { task: request.tasks[0]!.name, run: 1, payload: "a", fencingToken: 1, deadline: 1_000 };
        void fixture.workers[0]!.connect().start(order);
        void fixture.workers[1]!.connect().start({ ...order, run: 2 });
        await fixture.time.advance(480);
        fixture.workers[1]!.restart();
        await fixture.time.advance(10);
        fixture.submit(scheduler, request);
        await fixture.time.advance(3_000);
        expect(fixture.countStarts("a.0")).toBe(2);
        expect(fixture.answers.get("a")).toEqual({ kind: "completed" });
    });
});
