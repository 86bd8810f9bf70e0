/** Order, headroom, admission, limits and ejection of the slot scheduler, and learned run times, on virtual time. */

import { getGrant, newSchedulerFixture } from "./helpers";

describe("SlotScheduler", () => {
    test("grants no more than an upstream's slots and grants a released slot to a waiting request", async () => {
        const { scheduler, requestSlot } = newSchedulerFixture(["a"], 2);
        const first = getGrant(requestSlot({}));
        getGrant(requestSlot({}));
        const third = requestSlot({});
        expect(third).toEqual([]);
        scheduler.release(first.grantId, "answered", 100);
        expect(getGrant(third).upstreamId).toBe("a");
    });

    test("urgent work takes precedence over other work that arrived earlier", () => {
        const { scheduler, requestSlot } = newSchedulerFixture(["a"], 1);
        const holding = getGrant(requestSlot({}));
        const other = requestSlot({ urgent: false });
        const urgent = requestSlot({});
        scheduler.release(holding.grantId, "answered", 100);
        expect(other).toEqual([]);
        getGrant(urgent);
    });

    test("other work is not starved by urgent work", async () => {
        const { scheduler, time, requestSlot } = newSchedulerFixture(["a"], 1);
        let holding = getGrant(requestSlot({}));
        const other = requestSlot({ urgent: false, kind: "report", deadline: 60_000 });
        let served = 0;
        while (other.length === 0 && served < 50) {
            const next = requestSlot({ deadline: time.now() + 60_000 });
            await time.advance(100);
            scheduler.release(holding.grantId, "answered", 100);
            holding = getGrant(other.length > 0 ? other : next);
            served += 1;
        }
        expect(other).toHaveLength(1);
        expect(served).toBeGreaterThan(9);
    });

    test("long work leaves headroom for short urgent work, which shrinks while the long work waits", async () => {
        const { scheduler, time, requestSlot } = newSchedulerFixture(["a", "b"], 10);
        const short = Array.from({ length: 16 }, () => getGrant(requestSlot({})));
        await time.advance(5_000);
        const long = Array.from(
            { length: 4 },
            () => requestSlot({ kind: "batch", long: true, expectedRun: 3_000, deadline: 90_000 }),
        );
        expect(long.filter(decisions => decisions.length > 0)).toHaveLength(2);
        getGrant(requestSlot({}));
        scheduler.release(short[0]!.grantId, "answered", 100);
        await time.advance(1_600);
        expect(long.filter(decisions => decisions.length > 0).length).toBeGreaterThan(2);
    });

    test("long work that must leave headroom does not block short work queued behind it", async () => {
        const { time, requestSlot } = newSchedulerFixture(["a", "b"], 10);
        Array.from({ length: 18 }, () => getGrant(requestSlot({})));
        await time.advance(5_000);
        const long = requestSlot({
            urgent: false,
            kind: "batch",
            long: true,
            expectedRun: 3_000,
            deadline: time.now() + 9_000,
        });
        expect(long).toEqual([]);
        getGrant(requestSlot({ urgent: false, kind: "report", deadline: time.now() + 60_000, expectedRun: 30_000 }));
    });

    test("refuses at once a request that cannot start before its deadline", () => {
        const { requestSlot } = newSchedulerFixture(["a"], 1);
        getGrant(requestSlot({ deadline: 60_000 }));
        for (let number = 0; number < 10; number++) {
            requestSlot({ deadline: 60_000 });
        }
        expect(requestSlot({ deadline: 400 })).toMatchObject([{ granted: false, reason: "deadline-out-of-reach" }]);
    });

    test("refuses a waiting request when its deadline passes", async () => {
        const { time, requestSlot } = newSchedulerFixture(["a"], 1);
        getGrant(requestSlot({}));
        const waiting = requestSlot({ deadline: 500, expectedRun: 10, plannedRun: 10 });
        await time.advance(600);
        expect(waiting).toMatchObject([{ granted: false, reason: "deadline-passed" }]);
    });

    test("a cancelled request receives no decision, and the next one is served", () => {
        const { scheduler, requestSlot } = newSchedulerFixture(["a"], 1);
        const holding = getGrant(requestSlot({}));
        const left = requestSlot({ id: "left" });
        const next = requestSlot({});
        scheduler.cancel("left");
        scheduler.release(holding.grantId, "answered", 100);
        expect(left).toEqual([]);
        getGrant(next);
    });

    test("a request that excludes the only free upstream does not block the one queued behind it", () => {
        const { scheduler, requestSlot } = newSchedulerFixture(["a", "b"], 1);
        const grants = [getGrant(requestSlot({})), getGrant(requestSlot({}))];
        const grantOfA = grants.find(grant => grant.upstreamId === "a")!;
        const excluding = requestSlot({ excludedUpstreams: ["a"] });
        const behind = requestSlot({});
        scheduler.release(grantOfA.grantId, "answered", 100);
        expect(excluding).toEqual([]);
        expect(getGrant(behind).upstreamId).toBe("a");
    });

    test("an entry holds no more grants at an upstream than its connections allow", () => {
        const { scheduler, requestSlot } = newSchedulerFixture(["a"], 8);
        scheduler.updateUpstreams([{ id: "a", address: "127.0.0.1:1" as never, slots: 8, connectionsPerEntry: 2 }]);
        const decisions = [requestSlot({}), requestSlot({}), requestSlot({})];
        expect(decisions.map(list => list.length)).toEqual([1, 1, 0]);
        getGrant(requestSlot({ entryId: "other-entry" }));
    });

    test("a team above its share yields to a waiting team", () => {
        const { scheduler, requestSlot } = newSchedulerFixture(["a"], 2);
        const holding = getGrant(requestSlot({ team: "greedy" }));
        getGrant(requestSlot({ team: "greedy" }));
        const greedy = requestSlot({ team: "greedy" });
        const modest = requestSlot({ team: "modest" });
        scheduler.release(holding.grantId, "answered", 100);
        expect(greedy).toEqual([]);
        getGrant(modest);
    });

    test("an upstream that fails every request is ejected and later probed with one request", async () => {
        const { scheduler, time, requestSlot } = newSchedulerFixture(["a", "b"], 4);
        for (let number = 0; number < 12; number++) {
            const grant = getGrant(requestSlot({}));
            scheduler.release(grant.grantId, grant.upstreamId === "a" ? "failed" : "answered", 10);
        }
        expect(scheduler.health.getState("a")).toBe("ejected");
        expect(getGrant(requestSlot({})).upstreamId).toBe("b");
        await time.advance(1_100);
        const grants = Array.from({ length: 4 }, () => getGrant(requestSlot({})));
        expect(grants.filter(grant => grant.upstreamId === "a")).toHaveLength(1);
    });

    test("a kind that runs much longer than declared does not cause its upstreams to be ejected as slow", () => {
        const { scheduler, runTimes, requestSlot } = newSchedulerFixture(["a", "b"], 100);
        runTimes.declare("batch", 100);
        const grants = Array.from({ length: 90 }, () => getGrant(requestSlot({ kind: "batch" })));
        grants.forEach(grant => scheduler.release(grant.grantId, "answered", 3_000));
        expect(["a", "b"].map(id => scheduler.health.getState(id))).toEqual(["healthy", "healthy"]);
    });
});

describe("RunTimes", () => {
    test("corrects a declared run time that is too short before the kind's first exchange ends", async () => {
        const { time, runTimes } = newSchedulerFixture(["a"], 1);
        runTimes.declare("batch", 100);
        Array.from({ length: 10 }, () => runTimes.recordStart("batch"));
        await time.advance(2_000);
        expect(runTimes.getExpected("batch")).toBeGreaterThan(2_000);
    });

    test("a short kind that is no longer used does not make other kinds count as long", async () => {
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
