/** The desk: jobs go to the owner, to the next owner, and their callers always get an answer. */

import { toJobId, VirtualTime } from "@anvilmux/common";
import type { JobId } from "@anvilmux/common";
import { JobDesk } from "@anvilmux/dispatch";
import type { JobAnswer, JobRequest, OwnerLink } from "@anvilmux/dispatch";
import { Metrics, newSilentLogger } from "@anvilmux/telemetry";

class DeskWorld {
    readonly time = new VirtualTime();
    readonly submitted: JobRequest[] = [];
    readonly cancelled: JobId[] = [];
    readonly answers = new Map<string, JobAnswer>();
    ownerId: string | undefined = "owner-1";
    readonly desk = new JobDesk({
        getOwner: () => this.getOwner(),
        clock: this.time,
        timers: this.time,
        logger: newSilentLogger(),
        metrics: new Metrics(),
    });

    accept(id: string): () => void {
        return this.desk.accept(newRequest(id), answer => this.answers.set(id, answer));
    }

    private getOwner(): OwnerLink | undefined {
        return this.ownerId === undefined ? undefined : {
            id: this.ownerId,
            submit: request => this.submitted.push(request) > 0,
            cancel: id => this.cancelled.push(id),
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

describe("job desk", () => {
    test("a job goes to the next owner as one that may have run, with the time that is left", async () => {
        const world = new DeskWorld();
        world.accept("a");
        await world.time.advance(100);
        world.ownerId = "owner-2";
        world.desk.noteOwnerChange();
        expect(world.submitted.map(request => [request.resubmitted, request.remainingMs])).toEqual([
            [false, 2_000],
            [true, 1_900],
        ]);
        world.desk.noteAnswer("owner-1", toJobId("a"), { kind: "failed", reason: "old news" });
        expect(world.answers.size).toBe(0);
        world.desk.noteAnswer("owner-2", toJobId("a"), { kind: "completed" });
        expect(world.answers.get("a")).toEqual({ kind: "completed" });
    });

    test("the next owner learns whether tasks are in another zone", () => {
        const world = new DeskWorld();
        world.accept("a");
        world.accept("b");
        world.desk.noteElsewhere("owner-1", toJobId("a"), true);
        world.desk.noteElsewhere("owner-1", toJobId("b"), true);
        world.desk.noteElsewhere("owner-1", toJobId("b"), false);
        world.ownerId = "owner-2";
        world.desk.noteOwnerChange();
        expect(world.submitted.slice(2).map(request => request.mayRunElsewhere)).toEqual([true, false]);
    });

    test("only the owner that has the job may hand tasks of it to another zone", () => {
        const world = new DeskWorld();
        world.accept("a");
        expect(world.desk.noteElsewhere("owner-1", toJobId("a"), true)).toBe(true);
        world.ownerId = "owner-2";
        world.desk.noteOwnerChange();
        expect(world.desk.noteElsewhere("owner-1", toJobId("a"), true)).toBe(false);
    });

    test("without an owner a job is refused as not run", async () => {
        const world = new DeskWorld();
        world.ownerId = undefined;
        world.accept("a");
        await world.time.advance(400);
        expect(world.answers.get("a")?.kind).toBe("refused");
    });

    test("a caller that leaves ends its job at the owner", () => {
        const world = new DeskWorld();
        world.accept("a")();
        expect(world.cancelled).toEqual(["a"]);
    });

    test("an entry that ends answers everyone: unknown where tasks may have run, refused otherwise", () => {
        const world = new DeskWorld();
        world.accept("handed-over");
        world.ownerId = undefined;
        world.accept("waiting");
        world.ownerId = "owner-1";
        world.desk.stop();
        expect([...world.answers].map(([id, answer]) => [id, answer.kind])).toEqual([
            ["handed-over", "unknown"],
            ["waiting", "refused"],
        ]);
        expect(world.cancelled).toEqual(["handed-over"]);
        expect(world.desk.openJobs).toBe(0);
    });
});
