/** Jobs of all entries of a zone are held by the owner of its workers, as far as its memory for them suffices. */

import type { HoldMemory } from "@anvilmux/dispatch";
import { SchedulerFixture } from "./schedulerFixture";

const newMemory = (freeBytes: number) => {
    const memory = { held: 0, freeBytes };
    const hold: HoldMemory = bytes => {
        if (memory.held + bytes > memory.freeBytes) {
            return undefined;
        }
        memory.held += bytes;
        return () => void (memory.held -= bytes);
    };
    return { memory, hold };
};

const newFixture = async (freeBytes: number) => {
    const fixture = new SchedulerFixture(2);
    const { memory, hold } = newMemory(freeBytes);
    const scheduler = fixture.newScheduler(1, undefined, undefined, { holdMemory: hold });
    await fixture.time.advance(3_000);
    return { fixture, memory, scheduler };
};

describe("an owner's memory for jobs", () => {
    test("is exceeded by the jobs that entries submit", async () => {
        const { fixture, memory, scheduler } = await newFixture(10_000);
        fixture.submit(scheduler, fixture.newJob("wide", { tasks: 100 }));
        expect(fixture.answers.get("wide")).toMatchObject({
            kind: "refused",
            reason: "the memory for jobs is used up",
        });
        expect(memory.held).toBe(0);
        fixture.submit(scheduler, fixture.newJob("ordinary", { tasks: 2 }));
        expect(memory.held).toBeGreaterThan(0);
        await fixture.time.advance(1_000);
        expect(fixture.answers.get("ordinary")).toEqual({ kind: "completed" });
        expect(memory.held).toBe(0);
    });

    // A refusal says that nothing of the job has run.
    test("is used up, and a job that may have run is refused", async () => {
        const { fixture, scheduler } = await newFixture(0);
        fixture.submit(scheduler, fixture.newJob("again", { resubmitted: true }));
        expect(fixture.answers.get("again")?.kind).toBe("unknown");
    });

    test("is not released when its owner gives the workers up, or a job is cancelled", async () => {
        const { fixture, memory, scheduler } = await newFixture(100_000);
        fixture.submit(scheduler, fixture.newJob("job-1"));
        fixture.submit(scheduler, fixture.newJob("job-2", { runMs: 900 }));
        const held = memory.held;
        scheduler.cancel(fixture.newJob("job-1").id, "home", "left");
        expect(memory.held).toBe(held / 2);
        scheduler.stop();
        expect(memory.held).toBe(0);
    });
});
