/** The pool: placement, ends, failures, silence, late orders, changes of owner, and no task run twice at once. */

import { PoolWorld } from "./poolWorld";

describe("pool", () => {
    test("runs all tasks of a job and answers once all are done", async () => {
        const world = new PoolWorld(2);
        const pool = world.newPool(1);
        await world.time.advance(20);
        world.submit(pool, world.newJob("a", { tasks: 4 }));
        await world.time.advance(50);
        expect(world.answers.get("a")).toBeUndefined();
        await world.time.advance(80);
        expect(world.answers.get("a")).toEqual({ kind: "completed" });
        expect(world.begun).toHaveLength(4);
    });

    test("takes note of every end", async () => {
        const world = new PoolWorld(1);
        const pool = world.newPool(1);
        world.submit(pool, world.newJob("a"));
        await world.time.advance(300);
        expect(world.workers[0]!.unseenEnds).toBe(0);
    });

    test("a watch without an answer hides an end for less than 0.4 s while the worker is busy", async () => {
        const world = new PoolWorld(1);
        const pool = world.newPool(1);
        const worker = world.workers[0]!;
        await world.time.advance(20);
        world.submit(pool, world.newJob("long", { runMs: 4_000, objectiveMs: 9_000 }));
        await world.time.advance(1_000);
        worker.unansweredWatches = 1;
        while (worker.unansweredWatches > 0) {
            await world.time.advance(5);
        }
        world.submit(pool, world.newJob("short", { runMs: 60 }));
        await world.time.advance(60 + 400);
        expect(world.answers.get("short")).toEqual({ kind: "completed" });
        expect(world.doubleRuns).toEqual([]);
    });

    test("keeps the lease of a run that takes longer than the longest lease", async () => {
        const world = new PoolWorld(1);
        const pool = world.newPool(1);
        world.workers[0]!.clockRate = 0.98;
        world.submit(pool, world.newJob("a", { runMs: 3_500, objectiveMs: 6_000 }));
        await world.time.advance(3_700);
        expect(world.answers.get("a")).toEqual({ kind: "completed" });
        expect(world.begun).toHaveLength(1);
    });

    test("never orders more than a worker has room for, and serves the more urgent job first", async () => {
        const world = new PoolWorld(1);
        const pool = world.newPool(1);
        await world.time.advance(20);
        world.submit(pool, world.newJob("first", { tasks: 2 }));
        await world.time.advance(10);
        world.submit(pool, world.newJob("later", { objectiveMs: 900 }));
        world.submit(pool, world.newJob("urgent", { objectiveMs: 400 }));
        await world.time.advance(40);
        expect(world.workers[0]!.runningCount).toBe(2);
        await world.time.advance(70);
        expect(world.begun.slice(2)).toEqual(["urgent.0", "later.0"]);
    });

    test("refuses a job that cannot start in time, and only one of which nothing has started", async () => {
        const world = new PoolWorld(1);
        const pool = world.newPool(1);
        await world.time.advance(20);
        world.submit(pool, world.newJob("long", { tasks: 2, runMs: 2_000, objectiveMs: 4_000 }));
        await world.time.advance(10);
        world.submit(pool, world.newJob("short", { objectiveMs: 160 }));
        await world.time.advance(200);
        expect(world.answers.get("short")?.kind).toBe("refused");
        await world.time.advance(4_000);
        expect(world.begun).not.toContain("short.0");
    });

    test("fails a job at once whose task no worker could hold", async () => {
        const world = new PoolWorld(1);
        const pool = world.newPool(1);
        await world.time.advance(20);
        world.submit(pool, world.newJob("huge", { millicores: 64_000 }));
        expect(world.answers.get("huge")?.kind).toBe("failed");
    });

    test("tries a failed task on another worker within its attempts", async () => {
        const world = new PoolWorld(2);
        const pool = world.newPool(1);
        await world.time.advance(20);
        world.workers[0]!.failsAll = true;
        world.submit(pool, world.newJob("a", { attempts: 2 }));
        await world.time.advance(400);
        expect(world.answers.get("a")).toEqual({ kind: "completed" });
        world.workers[1]!.failsAll = true;
        world.submit(pool, world.newJob("b", { attempts: 2 }));
        await world.time.advance(600);
        expect(world.answers.get("b")?.kind).toBe("failed");
        expect(world.begun.filter(task => task === "b.0")).toHaveLength(2);
    });

    test.each([0, 40])("a task that stands still after %i ms runs on another worker", async standstillAfterMs => {
        const world = new PoolWorld(2);
        const pool = world.newPool(1);
        await world.time.advance(20);
        world.workers[0]!.standstillAfterMs = standstillAfterMs;
        world.submit(pool, world.newJob("a", { runMs: 200, objectiveMs: 1_000 }));
        await world.time.advance(20);
        expect(world.workers[0]!.runningCount).toBe(1);
        await world.time.advance(1_180);
        expect(world.answers.get("a")).toEqual({ kind: "completed" });
        expect(world.doubleRuns).toEqual([]);
        // The worker gets no task for a while.
        world.submit(pool, world.newJob("b", { runMs: 200 }));
        await world.time.advance(20);
        expect(world.workers[0]!.runningCount).toBe(0);
    });

    test("a task that takes three times its estimate on a slow worker is left alone", async () => {
        const world = new PoolWorld(1);
        const pool = world.newPool(1);
        await world.time.advance(20);
        const request = world.newJob("a", { runMs: 1_800, objectiveMs: 4_000 });
        world.submit(pool, { ...request, tasks: request.tasks.map(task => ({ ...task, estimateMs: 600 })) });
        await world.time.advance(1_900);
        expect(world.answers.get("a")).toEqual({ kind: "completed" });
        expect(world.begun).toEqual(["a.0"]);
    });

    test("places a task of a silent worker elsewhere only once its lease is over", async () => {
        const world = new PoolWorld(2);
        const pool = world.newPool(1);
        await world.time.advance(20);
        world.submit(pool, world.newJob("a", { runMs: 600, objectiveMs: 4_000 }));
        await world.time.advance(50);
        const silent = world.workers.find(worker => worker.runningCount > 0)!;
        silent.isCutOff = true;
        silent.clockRate = 0.98;
        await world.time.advance(4_000);
        expect(world.doubleRuns).toEqual([]);
        expect(world.answers.get("a")).toEqual({ kind: "completed" });
    });

    test("an order without an answer that is carried out late runs nothing twice", async () => {
        const world = new PoolWorld(2);
        const pool = world.newPool(1);
        await world.time.advance(20);
        for (const delay of [200, 390, 450, 2_000]) {
            world.workers.forEach((worker, number) => worker.orderDelayMs = number === 0 ? delay : 0);
            for (let job = 0; job < 3; job++) {
                world.submit(pool, world.newJob(`${delay}-${job}`, { runMs: 300, objectiveMs: 4_000 }));
            }
            await world.time.advance(4_000);
        }
        expect(world.doubleRuns).toEqual([]);
        expect([...world.answers].filter(([, answer]) => answer.kind !== "completed")).toEqual([]);
        expect(world.answers.size).toBe(12);
    });

    test("a list that a start's answer overtakes does not lose the run", async () => {
        const world = new PoolWorld(2);
        const pool = world.newPool(1);
        await world.time.advance(20);
        for (const worker of world.workers) {
            worker.startTravelMs = 4;
            worker.listTravelMs = 6;
        }
        for (let job = 0; job < 60; job++) {
            const options = { runMs: 40 + job % 7, objectiveMs: 4_000, millicores: 1_000 };
            world.submit(pool, world.newJob(`job-${job}`, options));
            await world.time.advance(1 + job % 5);
        }
        await world.time.advance(2_000);
        expect(world.doubleRuns).toEqual([]);
        expect(world.begun).toHaveLength(60);
    });

    test("a worker that began a new life has lost its runs, and they start again", async () => {
        const world = new PoolWorld(1);
        const pool = world.newPool(1);
        await world.time.advance(20);
        world.submit(pool, world.newJob("a", { runMs: 400, objectiveMs: 4_000 }));
        await world.time.advance(100);
        world.workers[0]!.beginNewLife();
        await world.time.advance(1_500);
        expect(world.answers.get("a")).toEqual({ kind: "completed" });
        expect(world.begun).toHaveLength(2);
    });

    test("cancelling stops what runs, and the room is free again", async () => {
        const world = new PoolWorld(1);
        const pool = world.newPool(1);
        await world.time.advance(20);
        world.submit(pool, world.newJob("a", { tasks: 2, runMs: 3_000, objectiveMs: 6_000 }));
        await world.time.advance(100);
        pool.cancel(world.newJob("a").id, "home", "test");
        await world.time.advance(100);
        expect(world.workers[0]!.runningCount).toBe(0);
        world.submit(pool, world.newJob("b", { tasks: 2 }));
        await world.time.advance(200);
        expect(world.answers.get("b")).toEqual({ kind: "completed" });
    });

    test("jobs of a lost home end, but not those that came back through another", async () => {
        const world = new PoolWorld(1);
        const pool = world.newPool(1);
        await world.time.advance(20);
        world.submit(pool, world.newJob("gone", { runMs: 2_000, objectiveMs: 6_000 }));
        world.submit(pool, world.newJob("back", { runMs: 900, objectiveMs: 6_000 }));
        await world.time.advance(100);
        pool.noteHomeLost("home");
        world.submit(pool, world.newJob("back", { runMs: 900, objectiveMs: 6_000 }), "home-2");
        await world.time.advance(600);
        expect(world.workers[0]!.runningCount).toBe(1);
        await world.time.advance(600);
        expect(world.answers.get("back")).toEqual({ kind: "completed" });
        expect(world.begun).toHaveLength(2);
    });
});

describe("change of owner", () => {
    test("the next owner adopts what runs and orders nothing twice", async () => {
        const world = new PoolWorld(2);
        const first = world.newPool(1);
        await world.time.advance(20);
        world.submit(first, world.newJob("a", { tasks: 3, runMs: 800, objectiveMs: 4_000 }));
        await world.time.advance(100);
        first.stop();
        await world.time.advance(400);
        const second = world.newPool(2);
        world.submit(second, world.newJob("a", { tasks: 3, runMs: 800, objectiveMs: 4_000, resubmitted: true }));
        await world.time.advance(1_000);
        expect(world.answers.get("a")).toEqual({ kind: "completed" });
        expect(world.begun).toHaveLength(3);
    });

    test("the next owner adopts also what should have started long ago", async () => {
        const world = new PoolWorld(2);
        const first = world.newPool(1);
        await world.time.advance(20);
        world.submit(first, world.newJob("a", { tasks: 2, runMs: 900, objectiveMs: 1_000 }));
        await world.time.advance(400);
        first.stop();
        world.workers.forEach(worker => worker.listTravelMs = 60);
        const second = world.newPool(2);
        world.submit(second, world.newJob("a", { tasks: 2, runMs: 900, objectiveMs: 600, resubmitted: true }));
        await world.time.advance(1_000);
        expect(world.answers.get("a")).toEqual({ kind: "completed" });
        expect(world.begun).toHaveLength(2);
    });

    test("an owner that was replaced cannot start anything", async () => {
        const world = new PoolWorld(1);
        const first = world.newPool(1);
        await world.time.advance(20);
        world.newPool(2);
        await world.time.advance(20);
        world.submit(first, world.newJob("a"));
        await world.time.advance(500);
        expect(world.begun).toHaveLength(0);
        expect(world.fencedTokens).toContain(1);
    });

    test("a refusal names the token of its order, also when the owner has raised it since", async () => {
        const world = new PoolWorld(1);
        let fence = 1;
        const first = world.newPool(1, () => fence);
        await world.time.advance(20);
        world.newPool(2);
        await world.time.advance(20);
        world.workers[0]!.startTravelMs = 30;
        world.submit(first, world.newJob("a"));
        await world.time.advance(10);
        fence = 3;
        await world.time.advance(60);
        expect(world.fencedTokens).toContain(1);
        expect(world.fencedTokens).not.toContain(3);
    });

    test("an owner that raises its token finds what another started in between", async () => {
        const world = new PoolWorld(2);
        let fence = 1;
        const first = world.newPool(1, () => fence);
        await world.time.advance(900);
        const second = world.newPool(2);
        await world.time.advance(20);
        world.submit(second, world.newJob("a", { tasks: 3, runMs: 3_000, objectiveMs: 5_000 }));
        // Into the next second, in which run numbers are higher.
        await world.time.advance(150);
        fence = 3;
        first.noteTokenRaised();
        world.submit(first, world.newJob("a", { tasks: 3, runMs: 3_000, objectiveMs: 5_000, resubmitted: true }));
        second.stop();
        await world.time.advance(3_500);
        expect(world.doubleRuns).toEqual([]);
        expect(world.begun).toHaveLength(3);
        expect(world.answers.get("a")).toEqual({ kind: "completed" });
    });

    test("waits for an unreachable worker's leases before it starts a job again", async () => {
        const world = new PoolWorld(2);
        const first = world.newPool(1);
        await world.time.advance(20);
        world.submit(first, world.newJob("a", { runMs: 5_000, objectiveMs: 9_000 }));
        await world.time.advance(100);
        world.workers.find(worker => worker.runningCount > 0)!.isCutOff = true;
        first.stop();
        const second = world.newPool(2);
        world.submit(second, world.newJob("a", { runMs: 300, objectiveMs: 9_000, resubmitted: true }));
        await world.time.advance(2_500);
        expect(world.doubleRuns).toEqual([]);
        expect(world.answers.get("a")).toEqual({ kind: "completed" });
    });

    test("stops runs whose job does not come back", async () => {
        const world = new PoolWorld(1);
        const first = world.newPool(1);
        await world.time.advance(20);
        world.submit(first, world.newJob("a", { runMs: 5_000, objectiveMs: 9_000 }));
        await world.time.advance(100);
        first.stop();
        world.newPool(2);
        await world.time.advance(700);
        expect(world.workers[0]!.runningCount).toBe(0);
    });
});

describe("refusals", () => {
    test("a start refused as late tells the worker's clock", async () => {
        const world = new PoolWorld(1);
        // Each list is read 150 ms after it was written.
        world.workers[0]!.listTravelMs = 150;
        const pool = world.newPool(1);
        await world.time.advance(160);
        world.submit(pool, world.newJob("a"));
        await world.time.advance(600);
        expect(world.answers.get("a")).toEqual({ kind: "completed" });
    });

    test("a job that a former owner had is never refused as not run", async () => {
        const world = new PoolWorld(1);
        const first = world.newPool(1);
        await world.time.advance(20);
        world.submit(first, world.newJob("a", { runMs: 3_000, objectiveMs: 3_300 }));
        await world.time.advance(100);
        world.workers[0]!.isCutOff = true;
        first.stop();
        const second = world.newPool(2);
        world.submit(second, world.newJob("a", { runMs: 3_000, objectiveMs: 3_200, resubmitted: true }));
        await world.time.advance(2_500);
        expect(world.answers.get("a")?.kind).toBe("unknown");
    });
});
