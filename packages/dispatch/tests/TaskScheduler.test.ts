/**
 * The task scheduler: placement, completions, failures, unresponsive workers, late orders and changes of owner. No task
 * may run twice at once.
 */

import { SchedulerFixture } from "./schedulerFixture";

describe("task scheduler", () => {
    test("runs all tasks of a job and answers once all are done", async () => {
        const fixture = new SchedulerFixture(2);
        const scheduler = fixture.newScheduler(1);
        await fixture.time.advance(20);
        fixture.submit(scheduler, fixture.newJob("a", { tasks: 4 }));
        await fixture.time.advance(50);
        expect(fixture.answers.get("a")).toBeUndefined();
        await fixture.time.advance(80);
        expect(fixture.answers.get("a")).toEqual({ kind: "completed" });
        expect(fixture.startedTasks).toHaveLength(4);
    });

    test("acknowledges every completion", async () => {
        const fixture = new SchedulerFixture(1);
        const scheduler = fixture.newScheduler(1);
        fixture.submit(scheduler, fixture.newJob("a"));
        await fixture.time.advance(300);
        expect(fixture.workers[0]!.unacknowledgedCount).toBe(0);
    });

    test("an unanswered watch delays a completion by less than 0.4 s while the worker is busy", async () => {
        const fixture = new SchedulerFixture(1);
        const scheduler = fixture.newScheduler(1);
        const worker = fixture.workers[0]!;
        await fixture.time.advance(20);
        fixture.submit(scheduler, fixture.newJob("long", { runMs: 4_000, objectiveMs: 9_000 }));
        await fixture.time.advance(1_000);
        worker.unansweredWatches = 1;
        while (worker.unansweredWatches > 0) {
            await fixture.time.advance(5);
        }
        fixture.submit(scheduler, fixture.newJob("short", { runMs: 60 }));
        await fixture.time.advance(60 + 400);
        expect(fixture.answers.get("short")).toEqual({ kind: "completed" });
        expect(fixture.doubleRuns).toEqual([]);
    });

    test("renews the lease of a run that takes longer than the longest lease", async () => {
        const fixture = new SchedulerFixture(1);
        const scheduler = fixture.newScheduler(1);
        fixture.workers[0]!.clockRate = 0.98;
        fixture.submit(scheduler, fixture.newJob("a", { runMs: 3_500, objectiveMs: 6_000 }));
        await fixture.time.advance(3_700);
        expect(fixture.answers.get("a")).toEqual({ kind: "completed" });
        expect(fixture.startedTasks).toHaveLength(1);
    });

    test("never exceeds a worker's capacity, and serves the more urgent job first", async () => {
        const fixture = new SchedulerFixture(1);
        const scheduler = fixture.newScheduler(1);
        await fixture.time.advance(20);
        fixture.submit(scheduler, fixture.newJob("first", { tasks: 2 }));
        await fixture.time.advance(10);
        fixture.submit(scheduler, fixture.newJob("later", { objectiveMs: 900 }));
        fixture.submit(scheduler, fixture.newJob("urgent", { objectiveMs: 400 }));
        await fixture.time.advance(40);
        expect(fixture.workers[0]!.runningCount).toBe(2);
        await fixture.time.advance(70);
        expect(fixture.startedTasks.slice(2)).toEqual(["urgent.0", "later.0"]);
    });

    test("refuses a job that cannot start in time, but no job that has started", async () => {
        const fixture = new SchedulerFixture(1);
        const scheduler = fixture.newScheduler(1);
        await fixture.time.advance(20);
        fixture.submit(scheduler, fixture.newJob("long", { tasks: 2, runMs: 2_000, objectiveMs: 4_000 }));
        await fixture.time.advance(10);
        fixture.submit(scheduler, fixture.newJob("short", { objectiveMs: 160 }));
        await fixture.time.advance(200);
        expect(fixture.answers.get("short")?.kind).toBe("refused");
        await fixture.time.advance(4_000);
        expect(fixture.startedTasks).not.toContain("short.0");
    });

    test("fails a job at once when no worker is large enough for one of its tasks", async () => {
        const fixture = new SchedulerFixture(1);
        const scheduler = fixture.newScheduler(1);
        await fixture.time.advance(20);
        fixture.submit(scheduler, fixture.newJob("huge", { millicores: 64_000 }));
        expect(fixture.answers.get("huge")?.kind).toBe("failed");
    });

    test("retries a failed task on another worker, up to its attempts", async () => {
        const fixture = new SchedulerFixture(2);
        const scheduler = fixture.newScheduler(1);
        await fixture.time.advance(20);
        fixture.workers[0]!.failsAllTasks = true;
        fixture.submit(scheduler, fixture.newJob("a", { attempts: 2 }));
        await fixture.time.advance(400);
        expect(fixture.answers.get("a")).toEqual({ kind: "completed" });
        fixture.workers[1]!.failsAllTasks = true;
        fixture.submit(scheduler, fixture.newJob("b", { attempts: 2 }));
        await fixture.time.advance(600);
        expect(fixture.answers.get("b")?.kind).toBe("failed");
        expect(fixture.startedTasks.filter(task => task === "b.0")).toHaveLength(2);
    });

    test.each([0, 40])("a task that stalls after %i ms runs on another worker", async stallAfterMs => {
        const fixture = new SchedulerFixture(2);
        const scheduler = fixture.newScheduler(1);
        await fixture.time.advance(20);
        fixture.workers[0]!.stallAfterMs = stallAfterMs;
        fixture.submit(scheduler, fixture.newJob("a", { runMs: 200, objectiveMs: 1_000 }));
        await fixture.time.advance(20);
        expect(fixture.workers[0]!.runningCount).toBe(1);
        await fixture.time.advance(1_180);
        expect(fixture.answers.get("a")).toEqual({ kind: "completed" });
        expect(fixture.doubleRuns).toEqual([]);
        // The worker is paused.
        fixture.submit(scheduler, fixture.newJob("b", { runMs: 200 }));
        await fixture.time.advance(20);
        expect(fixture.workers[0]!.runningCount).toBe(0);
    });

    test("a task that takes three times its estimate on a slow worker is not stopped", async () => {
        const fixture = new SchedulerFixture(1);
        const scheduler = fixture.newScheduler(1);
        await fixture.time.advance(20);
        const request = fixture.newJob("a", { runMs: 1_800, objectiveMs: 4_000 });
        fixture.submit(scheduler, { ...request, tasks: request.tasks.map(task => ({ ...task, estimateMs: 600 })) });
        await fixture.time.advance(1_900);
        expect(fixture.answers.get("a")).toEqual({ kind: "completed" });
        expect(fixture.startedTasks).toEqual(["a.0"]);
    });

    test("places a task of an unresponsive worker on another one only after its lease has expired", async () => {
        const fixture = new SchedulerFixture(2);
        const scheduler = fixture.newScheduler(1);
        await fixture.time.advance(20);
        fixture.submit(scheduler, fixture.newJob("a", { runMs: 600, objectiveMs: 4_000 }));
        await fixture.time.advance(50);
        const unresponsive = fixture.workers.find(worker => worker.runningCount > 0)!;
        unresponsive.isUnreachable = true;
        unresponsive.clockRate = 0.98;
        await fixture.time.advance(4_000);
        expect(fixture.doubleRuns).toEqual([]);
        expect(fixture.answers.get("a")).toEqual({ kind: "completed" });
    });

    test("an unanswered start that is carried out late runs no task twice", async () => {
        const fixture = new SchedulerFixture(2);
        const scheduler = fixture.newScheduler(1);
        await fixture.time.advance(20);
        for (const delay of [200, 390, 450, 2_000]) {
            fixture.workers.forEach((worker, number) => worker.orderDelayMs = number === 0 ? delay : 0);
            for (let job = 0; job < 3; job++) {
                fixture.submit(scheduler, fixture.newJob(`${delay}-${job}`, { runMs: 300, objectiveMs: 4_000 }));
            }
            await fixture.time.advance(4_000);
        }
        expect(fixture.doubleRuns).toEqual([]);
        expect([...fixture.answers].filter(([, answer]) => answer.kind !== "completed")).toEqual([]);
        expect(fixture.answers.size).toBe(12);
    });

    test("a list that is overtaken by the answer to a start does not end the run", async () => {
        const fixture = new SchedulerFixture(2);
        const scheduler = fixture.newScheduler(1);
        await fixture.time.advance(20);
        for (const worker of fixture.workers) {
            worker.startLatencyMs = 4;
            worker.listLatencyMs = 6;
        }
        for (let job = 0; job < 60; job++) {
            const options = { runMs: 40 + job % 7, objectiveMs: 4_000, millicores: 1_000 };
            fixture.submit(scheduler, fixture.newJob(`job-${job}`, options));
            await fixture.time.advance(1 + job % 5);
        }
        await fixture.time.advance(2_000);
        expect(fixture.doubleRuns).toEqual([]);
        expect(fixture.startedTasks).toHaveLength(60);
    });

    test("runs lost by the restart of a worker start again", async () => {
        const fixture = new SchedulerFixture(1);
        const scheduler = fixture.newScheduler(1);
        await fixture.time.advance(20);
        fixture.submit(scheduler, fixture.newJob("a", { runMs: 400, objectiveMs: 4_000 }));
        await fixture.time.advance(100);
        fixture.workers[0]!.restart();
        await fixture.time.advance(1_500);
        expect(fixture.answers.get("a")).toEqual({ kind: "completed" });
        expect(fixture.startedTasks).toHaveLength(2);
    });

    test("cancelling a job stops its runs and frees their resources", async () => {
        const fixture = new SchedulerFixture(1);
        const scheduler = fixture.newScheduler(1);
        await fixture.time.advance(20);
        fixture.submit(scheduler, fixture.newJob("a", { tasks: 2, runMs: 3_000, objectiveMs: 6_000 }));
        await fixture.time.advance(100);
        scheduler.cancel(fixture.newJob("a").id, "home", "test");
        await fixture.time.advance(100);
        expect(fixture.workers[0]!.runningCount).toBe(0);
        fixture.submit(scheduler, fixture.newJob("b", { tasks: 2 }));
        await fixture.time.advance(200);
        expect(fixture.answers.get("b")).toEqual({ kind: "completed" });
    });

    test("jobs of a disconnected submitter end, unless they were resubmitted through another", async () => {
        const fixture = new SchedulerFixture(1);
        const scheduler = fixture.newScheduler(1);
        await fixture.time.advance(20);
        fixture.submit(scheduler, fixture.newJob("gone", { runMs: 2_000, objectiveMs: 6_000 }));
        fixture.submit(scheduler, fixture.newJob("back", { runMs: 900, objectiveMs: 6_000 }));
        await fixture.time.advance(100);
        scheduler.handleSubmitterDisconnected("home");
        fixture.submit(scheduler, fixture.newJob("back", { runMs: 900, objectiveMs: 6_000 }), "home-2");
        await fixture.time.advance(600);
        expect(fixture.workers[0]!.runningCount).toBe(1);
        await fixture.time.advance(600);
        expect(fixture.answers.get("back")).toEqual({ kind: "completed" });
        expect(fixture.startedTasks).toHaveLength(2);
    });
});

describe("change of owner", () => {
    test("the next owner adopts the runs in progress and orders no task twice", async () => {
        const fixture = new SchedulerFixture(2);
        const first = fixture.newScheduler(1);
        await fixture.time.advance(20);
        fixture.submit(first, fixture.newJob("a", { tasks: 3, runMs: 800, objectiveMs: 4_000 }));
        await fixture.time.advance(100);
        first.stop();
        await fixture.time.advance(400);
        const second = fixture.newScheduler(2);
        fixture.submit(second, fixture.newJob("a", { tasks: 3, runMs: 800, objectiveMs: 4_000, resubmitted: true }));
        await fixture.time.advance(1_000);
        expect(fixture.answers.get("a")).toEqual({ kind: "completed" });
        expect(fixture.startedTasks).toHaveLength(3);
    });

    test("the next owner adopts the runs of a job whose latest start time has passed", async () => {
        const fixture = new SchedulerFixture(2);
        const first = fixture.newScheduler(1);
        await fixture.time.advance(20);
        fixture.submit(first, fixture.newJob("a", { tasks: 2, runMs: 900, objectiveMs: 1_000 }));
        await fixture.time.advance(400);
        first.stop();
        fixture.workers.forEach(worker => worker.listLatencyMs = 60);
        const second = fixture.newScheduler(2);
        fixture.submit(second, fixture.newJob("a", { tasks: 2, runMs: 900, objectiveMs: 600, resubmitted: true }));
        await fixture.time.advance(1_000);
        expect(fixture.answers.get("a")).toEqual({ kind: "completed" });
        expect(fixture.startedTasks).toHaveLength(2);
    });

    test("an owner that was replaced cannot start tasks", async () => {
        const fixture = new SchedulerFixture(1);
        const first = fixture.newScheduler(1);
        await fixture.time.advance(20);
        fixture.newScheduler(2);
        await fixture.time.advance(20);
        fixture.submit(first, fixture.newJob("a"));
        await fixture.time.advance(500);
        expect(fixture.startedTasks).toHaveLength(0);
        expect(fixture.fencedTokens).toContain(1);
    });

    test("a refused start is reported with the token of its order, even after the owner raised its token", async () => {
        const fixture = new SchedulerFixture(1);
        let fencingToken = 1;
        const first = fixture.newScheduler(1, () => fencingToken);
        await fixture.time.advance(20);
        fixture.newScheduler(2);
        await fixture.time.advance(20);
        fixture.workers[0]!.startLatencyMs = 30;
        fixture.submit(first, fixture.newJob("a"));
        await fixture.time.advance(10);
        fencingToken = 3;
        await fixture.time.advance(60);
        expect(fixture.fencedTokens).toContain(1);
        expect(fixture.fencedTokens).not.toContain(3);
    });

    test("an owner that raises its token finds the runs that another owner started in between", async () => {
        const fixture = new SchedulerFixture(2);
        let fencingToken = 1;
        const first = fixture.newScheduler(1, () => fencingToken);
        await fixture.time.advance(900);
        const second = fixture.newScheduler(2);
        await fixture.time.advance(20);
        fixture.submit(second, fixture.newJob("a", { tasks: 3, runMs: 3_000, objectiveMs: 5_000 }));
        // Advances into the next second, in which run numbers are higher.
        await fixture.time.advance(150);
        fencingToken = 3;
        first.handleTokenRaised();
        fixture.submit(first, fixture.newJob("a", { tasks: 3, runMs: 3_000, objectiveMs: 5_000, resubmitted: true }));
        second.stop();
        await fixture.time.advance(3_500);
        expect(fixture.doubleRuns).toEqual([]);
        expect(fixture.startedTasks).toHaveLength(3);
        expect(fixture.answers.get("a")).toEqual({ kind: "completed" });
    });

    test("waits until an unreachable worker's lease has expired before it starts a job again", async () => {
        const fixture = new SchedulerFixture(2);
        const first = fixture.newScheduler(1);
        await fixture.time.advance(20);
        fixture.submit(first, fixture.newJob("a", { runMs: 5_000, objectiveMs: 9_000 }));
        await fixture.time.advance(100);
        fixture.workers.find(worker => worker.runningCount > 0)!.isUnreachable = true;
        first.stop();
        const second = fixture.newScheduler(2);
        fixture.submit(second, fixture.newJob("a", { runMs: 300, objectiveMs: 9_000, resubmitted: true }));
        await fixture.time.advance(2_500);
        expect(fixture.doubleRuns).toEqual([]);
        expect(fixture.answers.get("a")).toEqual({ kind: "completed" });
    });

    test("stops runs whose job is not resubmitted", async () => {
        const fixture = new SchedulerFixture(1);
        const first = fixture.newScheduler(1);
        await fixture.time.advance(20);
        fixture.submit(first, fixture.newJob("a", { runMs: 5_000, objectiveMs: 9_000 }));
        await fixture.time.advance(100);
        first.stop();
        fixture.newScheduler(2);
        await fixture.time.advance(700);
        expect(fixture.workers[0]!.runningCount).toBe(0);
    });
});

describe("refusals", () => {
    test("a start refused as late corrects the estimate of the worker's clock", async () => {
        const fixture = new SchedulerFixture(1);
        // Each list arrives 150 ms after it was written.
        fixture.workers[0]!.listLatencyMs = 150;
        const scheduler = fixture.newScheduler(1);
        await fixture.time.advance(160);
        fixture.submit(scheduler, fixture.newJob("a"));
        await fixture.time.advance(600);
        expect(fixture.answers.get("a")).toEqual({ kind: "completed" });
    });

    test("a job that a former owner had is never answered as refused", async () => {
        const fixture = new SchedulerFixture(1);
        const first = fixture.newScheduler(1);
        await fixture.time.advance(20);
        fixture.submit(first, fixture.newJob("a", { runMs: 3_000, objectiveMs: 3_300 }));
        await fixture.time.advance(100);
        fixture.workers[0]!.isUnreachable = true;
        first.stop();
        const second = fixture.newScheduler(2);
        fixture.submit(second, fixture.newJob("a", { runMs: 3_000, objectiveMs: 3_200, resubmitted: true }));
        await fixture.time.advance(2_500);
        expect(fixture.answers.get("a")?.kind).toBe("unknown");
    });
});
