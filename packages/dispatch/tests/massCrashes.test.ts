/** Workers that crash for a reason of their own, many at about the same time, and cuts that only look like crashes. */

import { VirtualTime } from "@anvilmux/common";
import type { Milliseconds } from "@anvilmux/common";
import { crashCoincidenceMs } from "@anvilmux/dispatch";
import type { LeasedWorker } from "@anvilmux/stand-ins";
import { CrashSuspects } from "../src/CrashSuspects";
import { SchedulerFixture } from "./schedulerFixture";

const patient = { objectiveMs: 20_000, remainingMs: 30_000, millicores: 12_000 };
const jobCount = 12;
const ids = Array.from({ length: jobCount }, (_, index) => `sound${index}`);

const newFixture = async (workers: number, runMs: Milliseconds) => {
    const fixture = new SchedulerFixture(workers);
    const scheduler = fixture.newScheduler(1);
    await fixture.time.advance(50);
    ids.forEach(id => fixture.submit(scheduler, fixture.newJob(id, { ...patient, runMs })));
    await fixture.time.advance(400);
    return { fixture, scheduler };
};

const getBusy = (fixture: SchedulerFixture): readonly LeasedWorker[] =>
    fixture.workers.filter(worker => worker.runningCount > 0);

const getAnswers = (fixture: SchedulerFixture) => ids.map(id => fixture.answers.get(id)?.kind);

const unknown = Array(jobCount).fill("unknown");
const completed = Array(jobCount).fill("completed");

describe("a task that ran on two of many workers that crashed at about the same time is answered as failed", () => {
    test.each([[300, 0], [3_000, 0], [300, 120], [3_000, 120]])(
        "down for %i ms, each %i ms after the one before",
        async (downMs, spacingMs) => {
            const { fixture } = await newFixture(40, 7_000);
            for (let wave = 0; wave < 2; wave++) {
                const busy = getBusy(fixture);
                expect(busy.length).toBe(jobCount);
                busy.forEach((worker, index) => fixture.time.after(index * spacingMs, () => worker.crash(downMs)));
                await fixture.time.advance(jobCount * spacingMs + 1_500);
            }
            await fixture.time.advance(20_000);
            expect(getAnswers(fixture)).toEqual(unknown);
            expect(fixture.doubleRuns).toEqual([]);
        },
    );

    test("when their connections were refused for a while, and they ran on", async () => {
        const { fixture } = await newFixture(40, 2_500);
        for (let cut = 0; cut < 2; cut++) {
            const busy = getBusy(fixture);
            expect(busy.length).toBe(jobCount);
            busy.forEach(worker => worker.refusesCalls = true);
            await fixture.time.advance(1_400);
            busy.forEach(worker => worker.refusesCalls = false);
            await fixture.time.advance(600);
        }
        await fixture.time.advance(20_000);
        expect(getAnswers(fixture)).toEqual(unknown);
        expect(fixture.doubleRuns).toEqual([]);
    });

    test("and once only", async () => {
        const { fixture } = await newFixture(40, 2_500);
        getBusy(fixture).forEach(worker => worker.crash(300));
        await fixture.time.advance(20_000);
        expect(getAnswers(fixture)).toEqual(completed);
    });
});

test("one of many tasks that crash their workers is started on worker after worker, also when it comes again", async () => {
    const { fixture, scheduler } = await newFixture(40, 600);
    const deadly = Array.from({ length: 6 }, (_, index) => `deadly${index}`);
    deadly.forEach(id => fixture.crashingTasks.add(`${id}.0`));
    const jobs = deadly.map(id => fixture.newJob(id, { ...patient, runMs: 800 }));
    for (let submission = 0; submission < 3; submission++) {
        jobs.forEach(job => fixture.submit(scheduler, job));
        await fixture.time.advance(8_000);
    }
    expect(deadly.map(id => fixture.countStarts(`${id}.0`)).filter(starts => starts !== 2)).toEqual([]);
    expect(deadly.map(id => fixture.answers.get(id)?.kind)).toEqual(Array(deadly.length).fill("unknown"));
    expect(getAnswers(fixture)).toEqual(completed);
});

describe("a crash of a worker without the task", () => {
    test.each([
        ["failed", 4_000],
        ["unknown", 3_000],
        ["unknown", 1_000],
        ["failed", -4_000],
        ["unknown", -3_000],
    ])("is not considered, or at any time: answered as %s, %i ms after the task's last", async (kind, laterMs) => {
        const time = new VirtualTime();
        const suspects = new CrashSuspects(time);
        const [task] = new SchedulerFixture(0).newJob("task").tasks;
        const [other] = new SchedulerFixture(0).newJob("other").tasks;
        time.after(10_000, () => suspects.recordCrash([task!.name]));
        time.after(20_000, () => suspects.recordCrash([task!.name]));
        time.after(20_000 + laterMs, () => suspects.recordCrash([other!.name]));
        await time.advance(30_000);
        expect(suspects.findAnswer([other!, task!])?.kind).toBe(kind);
        expect(Math.abs(laterMs) > crashCoincidenceMs).toBe(kind === "failed");
    });

    test("hides one of two given up tasks that certainly crashes them", async () => {
        const time = new VirtualTime();
        const suspects = new CrashSuspects(time);
        const { tasks } = new SchedulerFixture(0).newJob("job", { tasks: 3 });
        const [first, second, third] = tasks.map(({ name }) => name);
        const crashes = [[0, first!], [500, third!], [1_000, first!], [20_000, second!], [30_000, second!]] as const;
        crashes.forEach(([at, task]) => time.after(at, () => suspects.recordCrash([task])));
        await time.advance(40_000);
        expect(suspects.findAnswer(tasks.slice(0, 1))?.kind).toBe("unknown");
        expect(suspects.findAnswer(tasks)?.kind).toBe("failed");
    });
});
