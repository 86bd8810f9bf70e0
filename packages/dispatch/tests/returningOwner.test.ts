/**
 * An owner that gets a job back after another owner had it: it neither refuses the job as not run nor starts a task that
 * the other owner may have forwarded to another zone.
 */

import type { Milliseconds } from "@anvilmux/common";
import { SchedulerFixture } from "./schedulerFixture";

describe("an owner to which a job returns", () => {
    /** An owner whose only worker is busy, with job `a` waiting. */
    const newBusyFixture = async (objectiveMs: Milliseconds) => {
        const fixture = new SchedulerFixture(1);
        const scheduler = fixture.newScheduler(1);
        await fixture.time.advance(20);
        fixture.submit(scheduler, fixture.newJob("first", { tasks: 2, runMs: 600, objectiveMs: 3_000 }));
        await fixture.time.advance(5);
        fixture.submit(scheduler, fixture.newJob("a", { objectiveMs }));
        await fixture.time.advance(50);
        return { fixture, scheduler };
    };

    test("a waiting job that returns as resubmitted is not refused", async () => {
        const { fixture, scheduler } = await newBusyFixture(400);
        fixture.submit(scheduler, fixture.newJob("a", { objectiveMs: 350, resubmitted: true }));
        await fixture.time.advance(500);
        expect(fixture.answers.get("a")?.kind).toBe("unknown");
        expect(fixture.startedTasks).not.toContain("a.0");
    });

    test("a waiting job that returns with tasks in another zone waits until these have ended", async () => {
        const { fixture, scheduler } = await newBusyFixture(9_000);
        const returned = fixture.newJob("a", { objectiveMs: 9_000, resubmitted: true, mayRunElsewhere: true });
        fixture.submit(scheduler, returned);
        await fixture.time.advance(1_500);
        expect(fixture.startedTasks).not.toContain("a.0");
    });

    test("a waiting job that was with no other owner is refused after its connection was lost for a moment", async () => {
        const { fixture, scheduler } = await newBusyFixture(400);
        const returned = fixture.newJob("a", { objectiveMs: 350, resubmitted: true });
        fixture.submit(scheduler, { ...returned, hadOtherOwner: false }, "home-2");
        await fixture.time.advance(500);
        expect(fixture.answers.get("a")?.kind).toBe("refused");
        expect(fixture.startedTasks).not.toContain("a.0");
    });

    test("a job that was withdrawn is not started, and is started when it returns", async () => {
        const { fixture, scheduler } = await newBusyFixture(9_000);
        const request = fixture.newJob("a", { objectiveMs: 9_000 });
        scheduler.withdraw(request.id, "another submitter");
        expect(scheduler.waitingJobs).toBe(1);
        scheduler.withdraw(request.id, "home");
        expect(scheduler.waitingJobs).toBe(0);
        await fixture.time.advance(800);
        expect(fixture.startedTasks).not.toContain("a.0");
        fixture.submit(scheduler, { ...request, resubmitted: true, hadOtherOwner: true });
        await fixture.time.advance(200);
        expect(fixture.answers.get("a")).toEqual({ kind: "completed" });
    });

    test("runs of a job that was withdrawn go on, but none of its tasks is started or forwarded", async () => {
        const fixture = new SchedulerFixture(1);
        const scheduler = fixture.newScheduler(1);
        await fixture.time.advance(20);
        const request = fixture.newJob("a", { tasks: 3, runMs: 300, objectiveMs: 9_000 });
        fixture.submit(scheduler, request);
        await fixture.time.advance(50);
        scheduler.withdraw(request.id, "home");
        await fixture.time.advance(500);
        expect(fixture.startedTasks).toEqual(["a.0", "a.1"]);
        fixture.submit(scheduler, { ...request, resubmitted: true, hadOtherOwner: true });
        await fixture.time.advance(500);
        expect(fixture.startedTasks).toEqual(["a.0", "a.1", "a.2"]);
        expect(fixture.answers.get("a")).toEqual({ kind: "completed" });
    });
});
