/** Order, headroom, admission, limits and ejection of the slot scheduler, on virtual time. */

import { getGrant, newSchedulerFixture } from "./helpers";

describe("SlotScheduler", () => {
    test("never grants more than an upstream's slots and serves in order of release", async () => {
        const { scheduler, ask } = newSchedulerFixture(["a"], 2);
        const first = getGrant(ask({}));
        getGrant(ask({}));
        const third = ask({});
        expect(third).toEqual([]);
        scheduler.release(first.grantId, "answered", 100);
        expect(getGrant(third).upstreamId).toBe("a");
    });

    test("urgent work goes before other work that came earlier", () => {
        const { scheduler, ask } = newSchedulerFixture(["a"], 1);
        const holding = getGrant(ask({}));
        const other = ask({ urgent: false });
        const urgent = ask({});
        scheduler.release(holding.grantId, "answered", 100);
        expect(other).toEqual([]);
        getGrant(urgent);
    });

    test("other work is not passed over for ever", async () => {
        const { scheduler, time, ask } = newSchedulerFixture(["a"], 1);
        let holding = getGrant(ask({}));
        const other = ask({ urgent: false, kind: "report", deadline: 60_000 });
        let served = 0;
        while (other.length === 0 && served < 50) {
            const next = ask({ deadline: time.now() + 60_000 });
            await time.advance(100);
            scheduler.release(holding.grantId, "answered", 100);
            holding = getGrant(other.length > 0 ? other : next);
            served += 1;
        }
        expect(other).toHaveLength(1);
        expect(served).toBeGreaterThan(9);
    });

    test("long work leaves slots free for short urgent work until its patience ends", async () => {
        const { scheduler, time, ask } = newSchedulerFixture(["a", "b"], 10);
        const short = Array.from({ length: 16 }, () => getGrant(ask({})));
        await time.advance(5_000);
        const long = Array.from(
            { length: 4 },
            () => ask({ kind: "batch", long: true, expectedRun: 3_000, deadline: 90_000 }),
        );
        expect(long.filter(decisions => decisions.length > 0)).toHaveLength(2);
        getGrant(ask({}));
        scheduler.release(short[0]!.grantId, "answered", 100);
        await time.advance(1_600);
        expect(long.filter(decisions => decisions.length > 0).length).toBeGreaterThan(2);
    });

    test("long work that must leave slots free does not hold up short work behind it", async () => {
        const { time, ask } = newSchedulerFixture(["a", "b"], 10);
        Array.from({ length: 18 }, () => getGrant(ask({})));
        await time.advance(5_000);
        const long = ask({
            urgent: false,
            kind: "batch",
            long: true,
            expectedRun: 3_000,
            deadline: time.now() + 9_000,
        });
        expect(long).toEqual([]);
        getGrant(ask({ urgent: false, kind: "report", deadline: time.now() + 60_000, expectedRun: 30_000 }));
    });

    test("refuses at once what cannot start before its deadline", () => {
        const { ask } = newSchedulerFixture(["a"], 1);
        getGrant(ask({ deadline: 60_000 }));
        for (let number = 0; number < 10; number++) {
            ask({ deadline: 60_000 });
        }
        expect(ask({ deadline: 400 })).toMatchObject([{ granted: false, reason: "deadline-out-of-reach" }]);
    });

    test("refuses a waiting request when its deadline comes", async () => {
        const { time, ask } = newSchedulerFixture(["a"], 1);
        getGrant(ask({}));
        const waiting = ask({ deadline: 500, expectedRun: 10, plannedRun: 10 });
        await time.advance(600);
        expect(waiting).toMatchObject([{ granted: false, reason: "deadline-passed" }]);
    });

    test("a request whose caller left gets nothing and frees its place", () => {
        const { scheduler, ask } = newSchedulerFixture(["a"], 1);
        const holding = getGrant(ask({}));
        const left = ask({ id: "left" });
        const next = ask({});
        scheduler.cancel("left");
        scheduler.release(holding.grantId, "answered", 100);
        expect(left).toEqual([]);
        getGrant(next);
    });

    test("a request that excludes the only free upstream does not hold up the one behind it", () => {
        const { scheduler, ask } = newSchedulerFixture(["a", "b"], 1);
        const grants = [getGrant(ask({})), getGrant(ask({}))];
        const ofA = grants.find(grant => grant.upstreamId === "a")!;
        const excluding = ask({ excludedUpstreams: ["a"] });
        const behind = ask({});
        scheduler.release(ofA.grantId, "answered", 100);
        expect(excluding).toEqual([]);
        expect(getGrant(behind).upstreamId).toBe("a");
    });

    test("one entry never holds more grants at an upstream than its connections", () => {
        const { scheduler, ask } = newSchedulerFixture(["a"], 8);
        scheduler.updateUpstreams([{ id: "a", address: "127.0.0.1:1" as never, slots: 8, connectionsPerEntry: 2 }]);
        const decisions = [ask({}), ask({}), ask({})];
        expect(decisions.map(list => list.length)).toEqual([1, 1, 0]);
        getGrant(ask({ entryId: "other-entry" }));
    });

    test("a team above its share yields to a waiting team", () => {
        const { scheduler, ask } = newSchedulerFixture(["a"], 2);
        const holding = getGrant(ask({ team: "greedy" }));
        getGrant(ask({ team: "greedy" }));
        const greedy = ask({ team: "greedy" });
        const modest = ask({ team: "modest" });
        scheduler.release(holding.grantId, "answered", 100);
        expect(greedy).toEqual([]);
        getGrant(modest);
    });

    test("an upstream that fails everything is left out and probed again with one request", async () => {
        const { scheduler, time, ask } = newSchedulerFixture(["a", "b"], 4);
        for (let number = 0; number < 12; number++) {
            const grant = getGrant(ask({}));
            scheduler.release(grant.grantId, grant.upstreamId === "a" ? "failed" : "answered", 10);
        }
        expect(scheduler.health.getState("a")).toBe("ejected");
        expect(getGrant(ask({})).upstreamId).toBe("b");
        await time.advance(1_100);
        const grants = Array.from({ length: 4 }, () => getGrant(ask({})));
        expect(grants.filter(grant => grant.upstreamId === "a")).toHaveLength(1);
    });

    test("a kind that runs much longer than declared does not get its upstreams ejected as slow", () => {
        const { scheduler, runTimes, ask } = newSchedulerFixture(["a", "b"], 100);
        runTimes.declare("batch", 100);
        const grants = Array.from({ length: 90 }, () => getGrant(ask({ kind: "batch" })));
        grants.forEach(grant => scheduler.release(grant.grantId, "answered", 3_000));
        expect(["a", "b"].map(id => scheduler.health.getState(id))).toEqual(["healthy", "healthy"]);
    });
});

describe("RunTimes", () => {
    test("finds out a kind that was declared short before its first exchange ends", async () => {
        const { time, runTimes } = newSchedulerFixture(["a"], 1);
        runTimes.declare("batch", 100);
        Array.from({ length: 10 }, () => runTimes.noteStart("batch"));
        await time.advance(2_000);
        expect(runTimes.getExpected("batch")).toBeGreaterThan(2_000);
    });

    test("a short kind that is not used any more does not make the others long", async () => {
        const { time, runTimes } = newSchedulerFixture(["a"], 1);
        Array.from({ length: 200 }, () => runTimes.record("warm-up", 10));
        runTimes.declare("screen", 100);
        await time.advance(30_000);
        Array.from({ length: 50 }, () => runTimes.record("screen", 120));
        Array.from({ length: 30 }, () => runTimes.record("batch", 3_000));
        await time.advance(200);
        expect([runTimes.isLong("screen"), runTimes.isLong("batch")]).toEqual([false, true]);
    });
});
