/**
 * When a new owner stops runs without a job: as soon as no entry can be about to submit their jobs, and in time for the
 * runs beside them, whose lease is not extended meanwhile.
 */

import type { HandoverState } from "@anvilmux/dispatch";
import { SchedulerFixture } from "./schedulerFixture";

/** An owner begins `silenceMs` after the end of another, on one worker with runs of jobs `a` and `b`. */
const changeOwner = async (handover: HandoverState, silenceMs: number) => {
    const fixture = new SchedulerFixture(1);
    const former = fixture.newScheduler(1);
    await fixture.time.advance(20);
    const [a, b] = ["a", "b"].map(id => fixture.newJob(id, { runMs: 3_000, objectiveMs: 9_000, remainingMs: 9_000 }));
    fixture.submit(former, a!, "former entry");
    fixture.submit(former, b!, "entry");
    await fixture.time.advance(600);
    former.stop();
    await fixture.time.advance(silenceMs);
    const next = fixture.newScheduler(2, () => 2, fixture.connect, { getHandover: () => handover });
    return { fixture, next, a: { ...a!, resubmitted: true }, b: { ...b!, resubmitted: true } };
};

describe("a new owner", () => {
    test("does not keep a worker from other tasks for a run whose job no entry has", async () => {
        const { fixture, next, b } = await changeOwner("complete", 50);
        fixture.submit(next, b, "entry");
        await fixture.time.advance(100);
        expect(fixture.isRunning("a.0")).toBe(false);
        fixture.submit(next, fixture.newJob("c"), "entry");
        await fixture.time.advance(20);
        expect(fixture.isRunning("c.0")).toBe(true);
        expect(fixture.isRunning("b.0")).toBe(true);
    });

    test.each([1, 20, 80])(
        "does not stop a run whose job comes %d ms later through an entry that connects again",
        async returnMs => {
            const { fixture, next, a, b } = await changeOwner("connected", 50);
            fixture.submit(next, b, "entry");
            await fixture.time.advance(returnMs);
            fixture.submit(next, a, "former entry, connected again");
            await fixture.time.advance(5_000);
            expect(fixture.answers.get("a")).toEqual({ kind: "completed" });
            expect(fixture.startedTasks).toEqual(["a.0", "b.0"]);
        },
    );

    test.each(
        [
            { handover: "complete", silenceMs: 650 },
            { handover: "connected", silenceMs: 400 },
        ] as const,
    )(
        "does not let a run lapse beside one without a job ($handover, $silenceMs ms after the former owner)",
        async ({ handover, silenceMs }) => {
            const { fixture, next, b } = await changeOwner(handover, silenceMs);
            fixture.submit(next, b, "entry");
            await fixture.time.advance(5_000);
            expect(fixture.answers.get("b")).toEqual({ kind: "completed" });
            expect(fixture.startedTasks).toEqual(["a.0", "b.0"]);
        },
    );

    test.each(["connected", "in-progress"] as const)(
        "keeps a run without a job for an entry that connects late where it holds up no other run (%s)",
        async handover => {
            const { fixture, next, a, b } = await changeOwner(handover, 50);
            next.cancel(b.id, "entry", "its caller left");
            await fixture.time.advance(350);
            fixture.submit(next, a, "former entry, connected again");
            await fixture.time.advance(5_000);
            expect(fixture.answers.get("a")).toEqual({ kind: "completed" });
            expect(fixture.countStarts("a.0")).toBe(1);
        },
    );

    test("waits for a connected entry that has not submitted all of its jobs", async () => {
        const { fixture, next, a, b } = await changeOwner("in-progress", 50);
        fixture.submit(next, b, "entry");
        await fixture.time.advance(350);
        fixture.submit(next, a, "entry that was busy");
        await fixture.time.advance(5_000);
        expect(fixture.answers.get("a")).toEqual({ kind: "completed" });
        expect(fixture.startedTasks).toEqual(["a.0", "b.0"]);
    });
});
