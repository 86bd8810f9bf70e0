/** Pending jobs: submission to the current owner and to the next one, and an answer for every caller. */

import { toJobId, VirtualTime } from "@anvilmux/common";
import type { JobId } from "@anvilmux/common";
import { PendingJobs } from "@anvilmux/dispatch";
import type { JobAnswer, JobRequest, OwnerLink } from "@anvilmux/dispatch";
import { Metrics, newSilentLogger } from "@anvilmux/telemetry";
import type { LogFields, Logger } from "@anvilmux/telemetry";

class PendingJobsFixture {
    readonly time = new VirtualTime();
    readonly submitted: JobRequest[] = [];
    readonly submissions: number[] = [];
    readonly cancelled: JobId[] = [];
    readonly cancelledAt: string[] = [];
    readonly withdrawnAt: string[] = [];
    readonly answers = new Map<string, JobAnswer>();
    readonly lines: (LogFields & { readonly message: string; })[] = [];
    ownerId: string | undefined = "owner-1";
    highestClaim = 0;
    readonly pendingJobs = new PendingJobs({
        getOwner: () => this.getOwner(),
        getHighestClaim: () => this.highestClaim,
        holdMemory: bytes => this.hold(bytes),
        clock: this.time,
        timers: this.time,
        logger: this.newLogger(),
        metrics: new Metrics(),
    });

    heldBytes = 0;
    freeBytes = Infinity;

    accept(id: string): () => void {
        return this.pendingJobs.accept(newRequest(id), answer => this.answers.set(id, answer));
    }

    /** Makes another entry the owner, or none. */
    changeOwner(ownerId: string | undefined): void {
        this.ownerId = ownerId;
        this.pendingJobs.handleOwnerChange();
    }

    private hold(bytes: number): (() => void) | undefined {
        if (bytes > this.freeBytes) {
            return undefined;
        }
        this.heldBytes += bytes;
        return () => void (this.heldBytes -= bytes);
    }

    private newLogger(): Logger {
        return { ...newSilentLogger(), info: (message, fields) => this.lines.push({ ...fields, message }) };
    }

    private getOwner(): OwnerLink | undefined {
        const id = this.ownerId;
        return id === undefined ? undefined : {
            id,
            submit: (request, submission) => this.submitted.push(request) === this.submissions.push(submission),
            cancel: job => this.cancelled.push(job) === this.cancelledAt.push(id),
            withdraw: () => this.withdrawnAt.push(id),
        };
    }
}

const newRequest = (id: string): JobRequest => ({
    id: toJobId(id),
    queue: "checks",
    service: "desk",
    payload: "",
    tasks: [],
    priority: 0,
    attempts: 1,
    objectiveMs: 500,
    remainingMs: 2_000,
    resubmitted: false,
    mayRunElsewhere: false,
    spilled: false,
});

const refusal: JobAnswer = { kind: "refused", reason: "no room in time", retryAfterMs: 1_000 };

describe("pending jobs", () => {
    test("the log tells for how long a job was here, and how many owners had it, when its caller left", async () => {
        const fixture = new PendingJobsFixture();
        const leave = fixture.accept("a");
        await fixture.time.advance(300);
        fixture.changeOwner("owner-2");
        leave();
        expect(fixture.lines).toEqual([{ message: "caller disconnected", job: "a", owners: 2, ageMs: 300 }]);
    });

    test("a job is resubmitted to the next owner, marked as resubmitted and with its remaining time", async () => {
        const fixture = new PendingJobsFixture();
        fixture.accept("a");
        await fixture.time.advance(100);
        fixture.ownerId = "owner-2";
        fixture.pendingJobs.handleOwnerChange();
        expect(fixture.submitted.map(request => [request.resubmitted, request.remainingMs])).toEqual([
            [false, 2_000],
            [true, 1_900],
        ]);
        fixture.pendingJobs.handleAnswer("owner-1", toJobId("a"), { kind: "failed", reason: "old news" }, 1);
        expect(fixture.answers.size).toBe(0);
        fixture.pendingJobs.handleAnswer("owner-2", toJobId("a"), { kind: "completed" }, 2);
        expect(fixture.answers.get("a")).toEqual({ kind: "completed" });
    });

    test("a submission reports the highest claim that the entry has seen by then", () => {
        const fixture = new PendingJobsFixture();
        fixture.accept("a");
        fixture.highestClaim = 7;
        fixture.ownerId = "owner-2";
        fixture.pendingJobs.handleOwnerChange();
        expect(fixture.submitted.map(request => request.highestClaim)).toEqual([0, 7]);
    });

    test("a resubmission reports whether tasks may run in another zone", () => {
        const fixture = new PendingJobsFixture();
        fixture.accept("a");
        fixture.accept("b");
        fixture.pendingJobs.markRemoteTasks("owner-1", toJobId("a"), true, 1);
        fixture.pendingJobs.markRemoteTasks("owner-1", toJobId("b"), true, 2);
        fixture.pendingJobs.markRemoteTasks("owner-1", toJobId("b"), false, 2);
        fixture.ownerId = "owner-2";
        fixture.pendingJobs.handleOwnerChange();
        expect(fixture.submitted.slice(2).map(request => request.mayRunElsewhere)).toEqual([true, false]);
    });

    test("only the owner that has the job may forward tasks of it to another zone", () => {
        const fixture = new PendingJobsFixture();
        fixture.accept("a");
        expect(fixture.pendingJobs.markRemoteTasks("owner-1", toJobId("a"), true, 1)).toBe(true);
        fixture.ownerId = "owner-2";
        fixture.pendingJobs.handleOwnerChange();
        expect(fixture.pendingJobs.markRemoteTasks("owner-1", toJobId("a"), true, 1)).toBe(false);
    });

    test("a resubmission reports whether another owner had the job", () => {
        const fixture = new PendingJobsFixture();
        fixture.accept("a");
        fixture.pendingJobs.handleOwnerDisconnected("owner-1");
        fixture.changeOwner("owner-2");
        fixture.changeOwner("owner-1");
        expect(fixture.submitted.map(request => [request.resubmitted, request.hadOtherOwner])).toEqual([
            [false, false],
            [true, false],
            [true, true],
            [true, true],
        ]);
    });

    test("a refusal of an earlier submission is not taken for the answer to the present one", () => {
        const fixture = new PendingJobsFixture();
        fixture.accept("a");
        fixture.changeOwner("owner-2");
        fixture.changeOwner("owner-1");
        const [first, , third] = fixture.submissions;
        fixture.pendingJobs.handleAnswer("owner-1", toJobId("a"), refusal, first!);
        expect(fixture.answers.size).toBe(0);
        fixture.pendingJobs.handleAnswer("owner-1", toJobId("a"), { kind: "completed" }, third!);
        expect(fixture.answers.get("a")).toEqual({ kind: "completed" });
    });

    test("a refusal meant for a caller that left is not passed to the caller that submits the job next", () => {
        const fixture = new PendingJobsFixture();
        fixture.accept("a")();
        fixture.accept("a");
        const [first, second] = fixture.submissions;
        fixture.pendingJobs.handleAnswer("owner-1", toJobId("a"), refusal, first!);
        expect(fixture.answers.size).toBe(0);
        fixture.pendingJobs.handleAnswer("owner-1", toJobId("a"), { kind: "completed" }, second!);
        expect(fixture.answers.get("a")).toEqual({ kind: "completed" });
    });

    test("an answer that names no submission, from an earlier release, counts while the job is with its owner", () => {
        const fixture = new PendingJobsFixture();
        fixture.accept("a");
        fixture.pendingJobs.handleAnswer("owner-2", toJobId("a"), refusal, undefined);
        expect(fixture.answers.size).toBe(0);
        fixture.pendingJobs.handleAnswer("owner-1", toJobId("a"), { kind: "completed" }, undefined);
        expect(fixture.answers.get("a")).toEqual({ kind: "completed" });
    });

    test("a report on an earlier submission does not hide that tasks may run in another zone", () => {
        const fixture = new PendingJobsFixture();
        fixture.accept("a");
        fixture.changeOwner("owner-2");
        fixture.changeOwner("owner-1");
        const [first, , third] = fixture.submissions;
        expect(fixture.pendingJobs.markRemoteTasks("owner-1", toJobId("a"), true, third!)).toBe(true);
        expect(fixture.pendingJobs.markRemoteTasks("owner-1", toJobId("a"), false, first!)).toBe(false);
        fixture.changeOwner("owner-2");
        expect(fixture.submitted.at(-1)?.mayRunElsewhere).toBe(true);
    });

    test("a job is refused while there is no owner", async () => {
        const fixture = new PendingJobsFixture();
        fixture.ownerId = undefined;
        fixture.accept("a");
        await fixture.time.advance(400);
        expect(fixture.answers.get("a")?.kind).toBe("refused");
    });

    test("a job is cancelled at the owner when its caller disconnects", () => {
        const fixture = new PendingJobsFixture();
        fixture.accept("a")();
        expect(fixture.cancelled).toEqual(["a"]);
    });

    test("a job is withdrawn from its owner when it is submitted to the next", () => {
        const fixture = new PendingJobsFixture();
        fixture.accept("a");
        fixture.changeOwner(undefined);
        expect(fixture.withdrawnAt).toEqual([]);
        fixture.changeOwner("owner-2");
        fixture.changeOwner("owner-1");
        expect(fixture.withdrawnAt).toEqual(["owner-1", "owner-2"]);
    });

    test("a job that ends is cancelled at the owners that had it before", () => {
        const fixture = new PendingJobsFixture();
        fixture.accept("a");
        const abandon = fixture.accept("b");
        fixture.changeOwner("owner-2");
        fixture.pendingJobs.handleAnswer("owner-2", toJobId("a"), { kind: "completed" }, fixture.submissions[2]);
        expect([fixture.cancelled, fixture.cancelledAt]).toEqual([["a"], ["owner-1"]]);
        abandon();
        expect([fixture.cancelled, fixture.cancelledAt]).toEqual([["a", "b", "b"], ["owner-1", "owner-1", "owner-2"]]);
    });

    test("a job is cancelled at its owner also while that owner is not seen as one", () => {
        const fixture = new PendingJobsFixture();
        const abandon = fixture.accept("a");
        fixture.changeOwner(undefined);
        abandon();
        expect(fixture.cancelledAt).toEqual(["owner-1"]);
    });

    test("an entry that shuts down answers unknown where tasks may have run and refused otherwise", () => {
        const fixture = new PendingJobsFixture();
        fixture.accept("handed-over");
        fixture.ownerId = undefined;
        fixture.accept("waiting");
        fixture.ownerId = "owner-1";
        fixture.pendingJobs.stop();
        expect([...fixture.answers].map(([id, answer]) => [id, answer.kind])).toEqual([
            ["handed-over", "unknown"],
            ["waiting", "refused"],
        ]);
        expect(fixture.cancelled).toEqual(["handed-over"]);
        expect(fixture.pendingJobs.openJobs).toBe(0);
    });
});

describe("memory for jobs", () => {
    test("is not released when a job is answered, given up by its caller, or ends with the entry", async () => {
        const fixture = new PendingJobsFixture();
        fixture.accept("a");
        const giveUp = fixture.accept("b");
        fixture.accept("c");
        const heldForThree = fixture.heldBytes;
        expect(heldForThree).toBeGreaterThan(0);
        fixture.accept("a");
        expect(fixture.heldBytes).toBe(heldForThree);
        const [submission] = fixture.submissions;
        fixture.pendingJobs.handleAnswer("owner-1", toJobId("a"), { kind: "completed" }, submission);
        giveUp();
        giveUp();
        expect(fixture.heldBytes).toBe(heldForThree / 3);
        fixture.pendingJobs.stop();
        expect(fixture.heldBytes).toBe(0);
    });

    test("is used up, and a job waits for it instead of being refused before anything of it is submitted", () => {
        const fixture = new PendingJobsFixture();
        fixture.freeBytes = 0;
        fixture.accept("a")();
        expect(fixture.answers.get("a")).toEqual({
            kind: "refused",
            reason: "the memory for jobs is used up",
            retryAfterMs: 1_000,
        });
        expect(fixture.submitted).toEqual([]);
        expect(fixture.pendingJobs.openJobs).toBe(0);
    });
});
