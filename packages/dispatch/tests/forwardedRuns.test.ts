/** Refusals that must not hide a run that is still in progress, and late refusals of a fencing token. */

import { chooseBestFit, TaskScheduler } from "@anvilmux/dispatch";
import type { ConnectWorker, RemoteScheduler } from "@anvilmux/dispatch";
import { Metrics, newSilentLogger } from "@anvilmux/telemetry";
import { TaskSpiller } from "../src/TaskSpiller";
import { SchedulerFixture } from "./schedulerFixture";

/** Workers receive a stop after 40 ms; the platform allows it 50 ms more. */
const newSlowlyStopping = (fixture: SchedulerFixture): ConnectWorker => target => {
    const driver = fixture.connect(target);
    return {
        ...driver,
        stop: (task, run, token) =>
            new Promise(resolve => fixture.time.after(40, () => void driver.stop(task, run, token).then(resolve))),
    };
};

describe("forwarded tasks", () => {
    test("a late refusal of an earlier token does not end the ban on forwarding under the present one", () => {
        const fixture = new SchedulerFixture(1);
        const sent: unknown[] = [];
        const spiller = new TaskSpiller({
            getRemoteSchedulers: () => [{
                zone: "z",
                free: { desk: [16_000] },
                submit: request => sent.push(request) > 0,
                cancel: () => undefined,
            }],
            getFencingToken: () => 2,
            clock: fixture.time,
            logger: newSilentLogger(),
            metrics: new Metrics(),
        }, { onDone: () => undefined, onRequeue: () => undefined, onFinish: () => undefined });
        spiller.handleFenced(2);
        spiller.handleFenced(1);
        const request = fixture.newJob("a");
        const task = { request: request.tasks[0]!, state: "waiting", avoided: [] };
        spiller.spill({
            request,
            tasks: [task],
            remoteTasks: new Map(),
            remoteAcknowledgement: "yes",
            receivedAt: 0,
            waiting: 1,
            started: 0,
        } as never, [task as never]);
        expect(sent).toHaveLength(0);
    });

    test("forwarded tasks that came again are not refused while an earlier run of them is being stopped", async () => {
        const fixture = new SchedulerFixture(1);
        const { time } = fixture;
        const scheduler = fixture.newScheduler(1, () => 1, newSlowlyStopping(fixture));
        await time.advance(20);
        const job = fixture.newJob("a", { spilled: true, runMs: 800, objectiveMs: 3_000 });
        fixture.submit(scheduler, job, "owner");
        await time.advance(20);
        expect(fixture.startedTasks).toEqual(["a.0"]);
        scheduler.cancel(job.id, "owner", "its caller left");
        fixture.submit(scheduler, job, "owner");
        await time.advance(10);
        expect(fixture.answers.get("a")?.kind).not.toBe("refused");
    });

    test("a task that is being stopped in another zone is not started here at the same time", async () => {
        const fixture = new SchedulerFixture(2);
        const { time } = fixture;
        const [here, there] = fixture.workers;
        const newOwner = (connect: ConnectWorker, getRemoteSchedulers: () => readonly RemoteScheduler[]) =>
            new TaskScheduler({
                connect,
                choose: chooseBestFit,
                getFencingToken: () => 1,
                onOutranked: () => undefined,
                onFenced: () => undefined,
                getRemoteSchedulers,
                clock: time,
                timers: time,
                logger: newSilentLogger(),
                metrics: new Metrics(),
            });
        const remote = newOwner(newSlowlyStopping(fixture), () => []);
        remote.setWorker(there!.announcement);
        let isRemoteOpen = true;
        const remoteScheduler: RemoteScheduler = {
            zone: "z",
            free: { desk: [16_000] },
            submit: (request, submission) => {
                time.after(1, () =>
                    remote.submit(request, {
                        key: "here",
                        answer: answer =>
                            time.after(1, () => {
                                isRemoteOpen = answer.kind !== "refused";
                                local.handleRemoteAnswer("z", request.id, answer, submission);
                            }),
                        announceRemoteTasks: () => true,
                        announceNoRemoteTasks: () => undefined,
                    }));
                return true;
            },
            cancel: id => void time.after(1, () => remote.cancel(id, "here", "cancelled by its owner")),
        };
        const local = newOwner(fixture.connect, () => isRemoteOpen ? [remoteScheduler] : []);
        local.setWorker(here!.announcement);
        await time.advance(30);
        fixture.submit(local, fixture.newJob("b", { tasks: 2, runMs: 40, objectiveMs: 3_000 }));
        await time.advance(10);
        const job = fixture.newJob("a", { runMs: 800, objectiveMs: 3_000 });
        fixture.submit(local, job, "home");
        await time.advance(20);
        expect(fixture.startedTasks).toContain("a.0");
        local.cancel(job.id, "home", "its caller left");
        fixture.submit(local, job, "home");
        await time.advance(500);
        expect(fixture.doubleRuns).toEqual([]);
    });
});
