/** Jobs in messages that may be old, as their receiver did not run or the network held them back. */

import type { TaskScheduler } from "@anvilmux/dispatch";
import { SchedulerFixture } from "./schedulerFixture";

const startScheduler = async (): Promise<readonly [SchedulerFixture, TaskScheduler]> => {
    const fixture = new SchedulerFixture(1);
    const scheduler = fixture.newScheduler(1);
    await fixture.time.advance(20);
    return [fixture, scheduler];
};

describe.each([true, false])("a job that may have been given up (forwarded by another zone: %s)", spilled => {
    test("is not started before its submitter is known to wait, and is not refused meanwhile", async () => {
        const [fixture, scheduler] = await startScheduler();
        const showPresence = fixture.submitLate(scheduler, fixture.newJob("a", { spilled }));
        await fixture.time.advance(100);
        expect([fixture.startedTasks, fixture.answers.size]).toEqual([[], 0]);
        showPresence();
        await fixture.time.advance(200);
        expect([fixture.startedTasks, fixture.answers.get("a")]).toEqual([["a.0"], { kind: "completed" }]);
    });

    test("is not started when its submitter cancels it or is disconnected before", async () => {
        const [fixture, scheduler] = await startScheduler();
        const cancelled = fixture.newJob("a", { spilled });
        const showers = [
            fixture.submitLate(scheduler, cancelled, "first"),
            fixture.submitLate(scheduler, fixture.newJob("b", { spilled }), "second"),
        ];
        scheduler.cancel(cancelled.id, "first", "its caller left");
        scheduler.handleSubmitterDisconnected("second");
        await fixture.time.advance(1_000);
        showers.forEach(show => show());
        await fixture.time.advance(200);
        expect(fixture.startedTasks).toEqual([]);
    });

    test("is started for a later submitter that waits, whether or not the first one does", async () => {
        const [fixture, scheduler] = await startScheduler();
        const job = fixture.newJob("a", { spilled });
        const showFirst = fixture.submitLate(scheduler, job, "first");
        const showSecond = fixture.submitLate(scheduler, { ...job, resubmitted: true }, "second");
        showFirst();
        await fixture.time.advance(50);
        expect(fixture.startedTasks).toEqual([]);
        showSecond();
        await fixture.time.advance(200);
        expect(fixture.startedTasks).toEqual(["a.0"]);
    });
});

test("forwarded tasks without capacity are refused once their submitter is known to wait", async () => {
    const [fixture, scheduler] = await startScheduler();
    fixture.submit(scheduler, fixture.newJob("here", { tasks: 2, runMs: 2_000, objectiveMs: 4_000 }));
    await fixture.time.advance(10);
    const showPresence = fixture.submitLate(scheduler, fixture.newJob("there", { spilled: true }));
    await fixture.time.advance(50);
    expect(fixture.answers.get("there")).toBeUndefined();
    showPresence();
    await fixture.time.advance(10);
    expect(fixture.answers.get("there")?.kind).toBe("refused");
});
