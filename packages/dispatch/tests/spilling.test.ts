/** Spilling, that is, forwarding tasks to other zones: selection, refusal, disconnection, and transfer of ownership. */

import type { JobRequest } from "@anvilmux/dispatch";
import { SchedulerFixture } from "./schedulerFixture";

describe("spilling", () => {
    /** A zone with one worker, and another zone that has reported free capacity for two tasks. */
    const newSpillFixture = async () => {
        const fixture = new SchedulerFixture(1);
        const scheduler = fixture.newScheduler(1);
        await fixture.time.advance(20);
        const sent: JobRequest[] = [];
        const submissions: number[] = [];
        fixture.remoteSchedulers = [{
            zone: "eire-cork",
            free: { desk: [16_000] },
            submit: (request, submission) => sent.push(request) === submissions.push(submission),
            cancel: () => undefined,
        }];
        return { fixture, scheduler, sent, submissions };
    };

    test("tasks without free capacity are forwarded to a zone with capacity once the submitter is informed", async () => {
        const { fixture, scheduler, sent, submissions } = await newSpillFixture();
        fixture.submit(scheduler, fixture.newJob("a", { tasks: 4 }));
        await fixture.time.advance(10);
        expect(sent[0]?.tasks.map(task => task.name)).toEqual(["a.2", "a.3"]);
        expect(sent[0]?.spilled).toBe(true);
        expect(fixture.remoteJobs).toEqual(["a"]);
        await fixture.time.advance(150);
        expect(fixture.answers.get("a")).toBeUndefined();
        scheduler.handleRemoteAnswer("eire-cork", sent[0]!.id, { kind: "completed" }, submissions[0]!);
        expect(fixture.answers.get("a")).toEqual({ kind: "completed" });
    });

    test("no task is forwarded before the submitter acknowledges it", async () => {
        const { fixture, scheduler, sent } = await newSpillFixture();
        fixture.acknowledgesAtOnce = false;
        const request = fixture.newJob("a", { tasks: 4, runMs: 1_000, objectiveMs: 4_000 });
        fixture.submit(scheduler, request);
        await fixture.time.advance(200);
        expect([sent.length, fixture.remoteJobs]).toEqual([0, ["a"]]);
        scheduler.handleRemoteAcknowledgement(request.id, "another submitter");
        await fixture.time.advance(50);
        expect(sent).toHaveLength(0);
        scheduler.handleRemoteAcknowledgement(request.id, "home");
        await fixture.time.advance(50);
        expect(sent).toHaveLength(1);
    });

    test("the next submitter of a job is informed that tasks are in another zone", async () => {
        const { fixture, scheduler } = await newSpillFixture();
        const request = fixture.newJob("a", { tasks: 4, runMs: 1_000, objectiveMs: 4_000 });
        fixture.submit(scheduler, request);
        await fixture.time.advance(50);
        fixture.submit(scheduler, request, "home-2");
        expect(fixture.remoteJobs).toEqual(["a", "a"]);
    });

    test("tasks refused by another zone are queued again", async () => {
        const { fixture, scheduler, sent, submissions } = await newSpillFixture();
        fixture.submit(scheduler, fixture.newJob("a", { tasks: 4 }));
        await fixture.time.advance(10);
        fixture.remoteSchedulers = [];
        const refusal = { kind: "refused", reason: "full", retryAfterMs: 0 } as const;
        scheduler.handleRemoteAnswer("eire-cork", sent[0]!.id, refusal, submissions[0]!);
        await fixture.time.advance(300);
        expect(fixture.answers.get("a")).toEqual({ kind: "completed" });
    });

    test("a refusal of tasks that were forwarded before the job was cancelled does not start them here", async () => {
        const { fixture, scheduler, sent, submissions } = await newSpillFixture();
        const request = fixture.newJob("a", { tasks: 3, runMs: 200, objectiveMs: 3_000 });
        fixture.submit(scheduler, request);
        await fixture.time.advance(10);
        scheduler.cancel(request.id, "home", "its caller left");
        await fixture.time.advance(60);
        fixture.submit(scheduler, request);
        await fixture.time.advance(10);
        expect(sent.map(({ tasks }) => tasks.map(task => task.name))).toEqual([["a.2"], ["a.2"]]);
        const refusal = { kind: "refused", reason: "full", retryAfterMs: 0 } as const;
        scheduler.handleRemoteAnswer("eire-cork", request.id, refusal, submissions[0]!);
        await fixture.time.advance(300);
        expect(fixture.startedTasks).not.toContain("a.2");
        expect(sent).toHaveLength(2);
        scheduler.handleRemoteAnswer("eire-cork", request.id, { kind: "completed" }, submissions[1]!);
        expect(fixture.answers.get("a")).toEqual({ kind: "completed" });
    });

    test("the submitter is informed once the job has no more tasks in other zones", async () => {
        const { fixture, scheduler, sent, submissions } = await newSpillFixture();
        fixture.submit(scheduler, fixture.newJob("a", { tasks: 4, runMs: 200 }));
        await fixture.time.advance(10);
        expect([fixture.remoteJobs, fixture.returnedJobs]).toEqual([["a"], []]);
        scheduler.handleRemoteAnswer("eire-cork", sent[0]!.id, { kind: "completed" }, submissions[0]!);
        expect(fixture.returnedJobs).toEqual(["a"]);
    });

    test("no tasks are exchanged with other zones while ownership is being transferred", async () => {
        const { fixture, scheduler, sent, submissions } = await newSpillFixture();
        fixture.submit(scheduler, fixture.newJob("before", { tasks: 3 }));
        await fixture.time.advance(10);
        scheduler.prepareTransfer();
        fixture.submit(scheduler, fixture.newJob("after", { tasks: 3 }));
        fixture.submit(scheduler, fixture.newJob("theirs", { spilled: true }));
        await fixture.time.advance(10);
        expect(sent.map(request => request.id)).toEqual(["before"]);
        expect(fixture.answers.get("theirs")?.kind).toBe("refused");
        expect([scheduler.hasCrossZoneTasks, scheduler.getFreeCapacity()]).toEqual([true, {}]);
        scheduler.handleRemoteAnswer("eire-cork", sent[0]!.id, { kind: "completed" }, submissions[0]!);
        expect(scheduler.hasCrossZoneTasks).toBe(false);
        await fixture.time.advance(400);
        expect(fixture.answers.get("after")).toEqual({ kind: "completed" });
    });

    test("an owner whose token a worker refused forwards nothing until it has raised its token", async () => {
        const fixture = new SchedulerFixture(1);
        let token = 1;
        const scheduler = fixture.newScheduler(1, () => token);
        await fixture.time.advance(20);
        const sent: JobRequest[] = [];
        fixture.remoteSchedulers = [{
            zone: "eire-cork",
            free: { desk: [16_000] },
            submit: request => sent.push(request) > 0,
            cancel: () => undefined,
        }];
        fixture.newScheduler(2);
        await fixture.time.advance(600);
        expect(fixture.fencedTokens).toContain(1);
        fixture.submit(scheduler, fixture.newJob("a", { tasks: 4, runMs: 300, objectiveMs: 4_000 }));
        await fixture.time.advance(200);
        expect(sent).toHaveLength(0);
        token = 3;
        scheduler.handleTokenRaised();
        await fixture.time.advance(200);
        expect(sent).toHaveLength(1);
    });

    test("a disconnected zone leaves the outcome unknown, and its tasks are not started again", async () => {
        const { fixture, scheduler } = await newSpillFixture();
        fixture.submit(scheduler, fixture.newJob("a", { tasks: 4 }));
        await fixture.time.advance(10);
        scheduler.handleRemoteDisconnected("eire-cork");
        await fixture.time.advance(500);
        expect(fixture.answers.get("a")?.kind).toBe("unknown");
        expect(fixture.startedTasks).toHaveLength(2);
    });

    test("spilled tasks that cannot start at once are refused", async () => {
        const fixture = new SchedulerFixture(1);
        const scheduler = fixture.newScheduler(1);
        await fixture.time.advance(20);
        fixture.submit(scheduler, fixture.newJob("here", { tasks: 2, runMs: 2_000, objectiveMs: 4_000 }));
        await fixture.time.advance(10);
        fixture.submit(scheduler, fixture.newJob("there", { spilled: true }));
        await fixture.time.advance(10);
        expect(fixture.answers.get("there")?.kind).toBe("refused");
    });

    test("a job that may run in another zone waits until that is certainly over", async () => {
        const fixture = new SchedulerFixture(1);
        const scheduler = fixture.newScheduler(1);
        await fixture.time.advance(20);
        fixture.submit(
            scheduler,
            fixture.newJob("a", { objectiveMs: 9_000, resubmitted: true, mayRunElsewhere: true }),
        );
        await fixture.time.advance(1_500);
        expect(fixture.startedTasks).toHaveLength(0);
        await fixture.time.advance(1_000);
        expect(fixture.answers.get("a")).toEqual({ kind: "completed" });
    });
});
