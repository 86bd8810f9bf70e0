/** Tasks that crash the workers that start them. */

import { VirtualTime } from "@anvilmux/common";
import { toTaskName } from "@anvilmux/dispatch";
import type { RemoteScheduler } from "@anvilmux/dispatch";
import { CrashSuspects } from "../src/CrashSuspects";
import { SchedulerFixture } from "./schedulerFixture";

const patient = { objectiveMs: 20_000, remainingMs: 30_000 };

const newFixture = async (workers: number) => {
    const fixture = new SchedulerFixture(workers);
    const scheduler = fixture.newScheduler(1);
    await fixture.time.advance(50);
    return { fixture, scheduler };
};

describe("a task under which two workers crashed", () => {
    test("is started on worker after worker until its caller gives up", async () => {
        const { fixture, scheduler } = await newFixture(8);
        fixture.crashingTasks.add("deadly.0");
        fixture.submit(scheduler, fixture.newJob("deadly", patient));
        await fixture.time.advance(20_000);
        expect(fixture.answers.get("deadly")?.kind).toBe("failed");
        expect(fixture.countStarts("deadly.0")).toBe(2);
    });

    test("is started again because its caller submitted the job again", async () => {
        const { fixture, scheduler } = await newFixture(8);
        fixture.crashingTasks.add("deadly.0");
        const job = fixture.newJob("deadly", { objectiveMs: 900, remainingMs: 1_500 });
        for (let submission = 0; submission < 6; submission++) {
            fixture.submit(scheduler, job);
            await fixture.time.advance(1_600);
            scheduler.cancel(job.id, "home", "its caller left");
            await fixture.time.advance(1_300);
        }
        expect(fixture.countStarts("deadly.0")).toBe(2);
    });

    test("fails a sound job that ran beside it", async () => {
        const { fixture, scheduler } = await newFixture(8);
        fixture.crashingTasks.add("deadly.0");
        fixture.submit(scheduler, fixture.newJob("sound", { ...patient, runMs: 800 }));
        fixture.submit(scheduler, fixture.newJob("deadly", { ...patient, runMs: 800 }));
        await fixture.time.advance(20_000);
        expect(fixture.answers.get("sound")).toEqual({ kind: "completed" });
        expect(fixture.answers.get("deadly")?.kind).toBe("failed");
    });

    test("is forwarded to the workers of another zone", async () => {
        const { fixture, scheduler } = await newFixture(1);
        const forwarded: string[] = [];
        const remote: RemoteScheduler = {
            zone: "eire-cork",
            free: { desk: [16_000, 16_000] },
            submit: request => forwarded.push(request.id) > 0,
            cancel: () => undefined,
        };
        fixture.crashingTasks.add("deadly.0");
        fixture.submit(scheduler, fixture.newJob("deadly", patient));
        await fixture.time.advance(20);
        fixture.remoteSchedulers = [remote];
        await fixture.time.advance(10_000);
        expect([forwarded, fixture.countStarts("deadly.0")]).toEqual([[], 2]);
    });
});

test("a task whose workers were cut off twice is taken for one that crashes them", async () => {
    const { fixture, scheduler } = await newFixture(3);
    fixture.submit(scheduler, fixture.newJob("sound", { ...patient, runMs: 2_400 }));
    for (let cut = 0; cut < 2; cut++) {
        await fixture.time.advance(100);
        fixture.workers.find(worker => worker.runningCount > 0)!.isUnreachable = true;
        await fixture.time.advance(2_000);
    }
    await fixture.time.advance(4_000);
    expect([fixture.answers.get("sound")?.kind, fixture.countStarts("sound.0")]).toEqual(["completed", 3]);
});

test("a task that ran beside a suspected one at its crash is suspected as well", () => {
    const suspects = new CrashSuspects(new VirtualTime());
    const [deadly, sound] = [toTaskName("deadly.0"), toTaskName("sound.0")];
    suspects.recordCrash([deadly]);
    suspects.recordCrash([deadly, sound]);
    expect([suspects.isGivenUp(deadly), suspects.isSuspect(sound)]).toEqual([true, false]);
});
