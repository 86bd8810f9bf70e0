/** Tasks handed to the pools of other zones: choice, refusal, loss, and handing the pool itself over. */

import type { JobRequest } from "@anvilmux/dispatch";
import { PoolWorld } from "./poolWorld";

describe("spilling", () => {
    /** A zone with one worker, beside another zone that has reported room for two tasks. */
    const newSpillWorld = async () => {
        const world = new PoolWorld(1);
        const pool = world.newPool(1);
        await world.time.advance(20);
        const sent: JobRequest[] = [];
        world.remotePools = [{
            zone: "eire-cork",
            free: { desk: [16_000] },
            submit: request => sent.push(request) > 0,
            cancel: () => undefined,
        }];
        return { world, pool, sent };
    };

    test("tasks without room go to a zone that has it, and the home is told first", async () => {
        const { world, pool, sent } = await newSpillWorld();
        world.submit(pool, world.newJob("a", { tasks: 4 }));
        await world.time.advance(10);
        expect(sent[0]?.tasks.map(task => task.name)).toEqual(["a.2", "a.3"]);
        expect(sent[0]?.spilled).toBe(true);
        expect(world.awayJobs).toEqual(["a"]);
        await world.time.advance(150);
        expect(world.answers.get("a")).toBeUndefined();
        pool.noteRemoteAnswer("eire-cork", sent[0]!.id, { kind: "completed" });
        expect(world.answers.get("a")).toEqual({ kind: "completed" });
    });

    test("nothing is handed over before the home knows of it", async () => {
        const { world, pool, sent } = await newSpillWorld();
        world.homesKnowAtOnce = false;
        const request = world.newJob("a", { tasks: 4, runMs: 1_000, objectiveMs: 4_000 });
        world.submit(pool, request);
        await world.time.advance(200);
        expect([sent.length, world.awayJobs]).toEqual([0, ["a"]]);
        pool.noteAwayKnown(request.id, "another home");
        await world.time.advance(50);
        expect(sent).toHaveLength(0);
        pool.noteAwayKnown(request.id, "home");
        await world.time.advance(50);
        expect(sent).toHaveLength(1);
    });

    test("the next home of a job is told that tasks are elsewhere", async () => {
        const { world, pool } = await newSpillWorld();
        const request = world.newJob("a", { tasks: 4, runMs: 1_000, objectiveMs: 4_000 });
        world.submit(pool, request);
        await world.time.advance(50);
        world.submit(pool, request, "home-2");
        expect(world.awayJobs).toEqual(["a", "a"]);
    });

    test("refused tasks wait here again", async () => {
        const { world, pool, sent } = await newSpillWorld();
        world.submit(pool, world.newJob("a", { tasks: 4 }));
        await world.time.advance(10);
        world.remotePools = [];
        pool.noteRemoteAnswer("eire-cork", sent[0]!.id, { kind: "refused", reason: "full", retryAfterMs: 0 });
        await world.time.advance(300);
        expect(world.answers.get("a")).toEqual({ kind: "completed" });
    });

    test("the home is told once nothing of the job is elsewhere any more", async () => {
        const { world, pool, sent } = await newSpillWorld();
        world.submit(pool, world.newJob("a", { tasks: 4, runMs: 200 }));
        await world.time.advance(10);
        expect([world.awayJobs, world.backJobs]).toEqual([["a"], []]);
        pool.noteRemoteAnswer("eire-cork", sent[0]!.id, { kind: "completed" });
        expect(world.backJobs).toEqual(["a"]);
    });

    test("a pool that is about to be handed over neither gives nor takes tasks", async () => {
        const { world, pool, sent } = await newSpillWorld();
        world.submit(pool, world.newJob("before", { tasks: 3 }));
        await world.time.advance(10);
        pool.prepareHandOver();
        world.submit(pool, world.newJob("after", { tasks: 3 }));
        world.submit(pool, world.newJob("theirs", { spilled: true }));
        await world.time.advance(10);
        expect(sent.map(request => request.id)).toEqual(["before"]);
        expect(world.answers.get("theirs")?.kind).toBe("refused");
        expect([pool.hasPartsOfOtherZones, pool.getFreeRoom()]).toEqual([true, {}]);
        pool.noteRemoteAnswer("eire-cork", sent[0]!.id, { kind: "completed" });
        expect(pool.hasPartsOfOtherZones).toBe(false);
        await world.time.advance(400);
        expect(world.answers.get("after")).toEqual({ kind: "completed" });
    });

    test("a lost zone leaves the outcome unknown, and nothing is started again here", async () => {
        const { world, pool } = await newSpillWorld();
        world.submit(pool, world.newJob("a", { tasks: 4 }));
        await world.time.advance(10);
        pool.noteRemoteLost("eire-cork");
        await world.time.advance(500);
        expect(world.answers.get("a")?.kind).toBe("unknown");
        expect(world.begun).toHaveLength(2);
    });

    test("spilled tasks are started at once or refused", async () => {
        const world = new PoolWorld(1);
        const pool = world.newPool(1);
        await world.time.advance(20);
        world.submit(pool, world.newJob("here", { tasks: 2, runMs: 2_000, objectiveMs: 4_000 }));
        await world.time.advance(10);
        world.submit(pool, world.newJob("there", { spilled: true }));
        await world.time.advance(10);
        expect(world.answers.get("there")?.kind).toBe("refused");
    });

    test("a job that may run elsewhere waits until that is certainly over", async () => {
        const world = new PoolWorld(1);
        const pool = world.newPool(1);
        await world.time.advance(20);
        world.submit(pool, world.newJob("a", { objectiveMs: 9_000, resubmitted: true, mayRunElsewhere: true }));
        await world.time.advance(1_500);
        expect(world.begun).toHaveLength(0);
        await world.time.advance(1_000);
        expect(world.answers.get("a")).toEqual({ kind: "completed" });
    });
});
