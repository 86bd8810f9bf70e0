/** Workers whose room shrinks and grows again while they run. */

import type { WorkerAnnouncement } from "@anvilmux/dispatch";
import { SchedulerFixture } from "./schedulerFixture";

const resize = (announcement: WorkerAnnouncement, millicores: number, sequence: number): WorkerAnnouncement => ({
    ...announcement,
    sequence,
    room: { ...announcement.room, millicores },
});

const newFixture = async () => {
    const fixture = new SchedulerFixture(1);
    const scheduler = fixture.newScheduler(1);
    await fixture.time.advance(50);
    const { announcement } = fixture.workers[0]!;
    return {
        fixture,
        scheduler,
        setRoom: (room: number, sequence: number) => scheduler.setWorker(resize(announcement, room, sequence)),
    };
};

test("a start brings a worker over the room that has shrunk", async () => {
    const { fixture, scheduler, setRoom } = await newFixture();
    fixture.submit(scheduler, fixture.newJob("first", { runMs: 400 }));
    await fixture.time.advance(50);
    setRoom(8_000, 2);
    fixture.submit(scheduler, fixture.newJob("second", { runMs: 100, objectiveMs: 2_000 }));
    await fixture.time.advance(300);
    expect(fixture.startedTasks).toEqual(["first.0"]);
    await fixture.time.advance(300);
    expect(fixture.startedTasks).toEqual(["first.0", "second.0"]);
});

test("a start takes the room of a run that is still being stopped", async () => {
    const { fixture, scheduler, setRoom } = await newFixture();
    setRoom(8_000, 2);
    const first = fixture.newJob("first", { runMs: 4_000, objectiveMs: 6_000 });
    fixture.submit(scheduler, first);
    await fixture.time.advance(50);
    scheduler.cancel(first.id, "home", "cancelled");
    fixture.submit(scheduler, fixture.newJob("second"));
    await fixture.time.advance(10);
    expect([fixture.workers[0]!.runningCount, fixture.startedTasks.length]).toEqual([1, 1]);
    await fixture.time.advance(200);
    expect(fixture.answers.get("second")).toEqual({ kind: "completed" });
});

test("a job is answered as failed because the room it needs has shrunk for a while", async () => {
    const { fixture, scheduler, setRoom } = await newFixture();
    setRoom(4_000, 2);
    fixture.submit(scheduler, fixture.newJob("job", { objectiveMs: 2_000 }));
    await fixture.time.advance(300);
    expect(fixture.answers.get("job")).toBeUndefined();
    setRoom(16_000, 3);
    await fixture.time.advance(300);
    expect(fixture.answers.get("job")).toEqual({ kind: "completed" });
});
