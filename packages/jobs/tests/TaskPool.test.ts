/** Task starts, cancellation, lease transfer and failing workers, against the stand-in worker over loopback. */

import { newRandom, newSystemClock, newSystemTimers, toJobId } from "@anvilmux/common";
import { placeByFreeProcessors, TaskPool, WorkerLink } from "@anvilmux/jobs";
import type { OwnedTask, TaskCompletion } from "@anvilmux/jobs";
import type { WorkerAnnouncement } from "@anvilmux/membership";
import { StandInWorker } from "@anvilmux/stand-ins";
import { DecisionLog, Metrics, newSilentLogger } from "@anvilmux/telemetry";

const clock = newSystemClock();
const timers = newSystemTimers();
const cleanups: (() => Promise<void>)[] = [];

afterEach(async () => {
    await Promise.all(cleanups.splice(0).map(close => close()));
});

const startWorker = async (id: string, processors: number) => {
    const worker = new StandInWorker({ id, rack: "rack", processors, memoryMebibytes: 1_000, accelerators: 0 });
    const address = await worker.listen();
    cleanups.push(() => worker.close());
    const announcement: WorkerAnnouncement = { ...worker.options, address, incarnation: 1, leaseMs: 3_000 };
    return { worker, announcement };
};

const newPool = (ownerId: string): TaskPool => {
    const pool = new TaskPool({
        ownerId,
        clock,
        timers,
        random: newRandom(1),
        logger: newSilentLogger(),
        metrics: new Metrics(),
        decisions: new DecisionLog(clock),
        place: placeByFreeProcessors,
        protectsShortTasks: true,
        getTeamProcessors: team => team === "small" ? 1 : Infinity,
    });
    cleanups.unshift(() => pool.stop());
    return pool;
};

/** Submits tasks and resolves with their completions. */
const runTasks = (
    pool: TaskPool,
    count: number,
    runMs: number,
    overrides: Partial<OwnedTask> = {},
): Promise<readonly TaskCompletion[]> => {
    const jobId = overrides.jobId ?? toJobId(`job-${Math.random()}`);
    const completions = Array.from(
        { length: count },
        (_unused, number) =>
            new Promise<TaskCompletion>(resolve =>
                pool.submit({
                    jobId,
                    team: "touring",
                    urgent: true,
                    specification: {
                        id: `task-${number}`,
                        kind: "price",
                        processors: 1,
                        memoryMebibytes: 1,
                        accelerators: 0,
                        declaredRunMs: 50,
                        payload: JSON.stringify({ runMs }),
                    },
                    enqueuedAt: clock.now(),
                    deadline: clock.now() + 20_000,
                    report: resolve,
                    ...overrides,
                })
            ),
    );
    pool.serve();
    return Promise.all(completions);
};

const getOutcomes = (completions: readonly TaskCompletion[]) =>
    [...new Set(completions.map(completion => completion.outcome))].sort();

const waitUntil = async (condition: () => boolean): Promise<void> => {
    while (!condition()) {
        await new Promise(resolve => setTimeout(resolve, 5));
    }
};

describe("TaskPool", () => {
    test("runs every task once and never uses more processors than the worker has", async () => {
        const { worker, announcement } = await startWorker("a", 3);
        const pool = newPool("owner");
        pool.setWorkers([announcement]);
        const completions = await runTasks(pool, 12, 10);
        expect(getOutcomes(completions)).toEqual(["answered"]);
        expect([...worker.starts.values()]).toEqual(Array.from({ length: 12 }, () => 1));
        expect(worker.peakProcessors).toBeLessThanOrEqual(3);
    });

    test("a team never uses more than its quota", async () => {
        const { worker, announcement } = await startWorker("a", 4);
        const pool = newPool("owner");
        pool.setWorkers([announcement]);
        await runTasks(pool, 5, 10, { team: "small" });
        expect(worker.peakProcessors).toBe(1);
    });

    test("a cancelled job starts no more tasks and its running tasks are stopped", async () => {
        const { worker, announcement } = await startWorker("a", 2);
        const pool = newPool("owner");
        pool.setWorkers([announcement]);
        const jobId = toJobId("cancelled");
        const completions = runTasks(pool, 6, 60_000, { jobId });
        await waitUntil(() => worker.runningCount === 2);
        expect(pool.cancelJob(jobId)).toBe(6);
        expect(getOutcomes(await completions)).toEqual(["failed", "not-run"]);
        expect([worker.starts.size, worker.startsAfterCancel, pool.waiting]).toEqual([2, 0, 0]);
    });

    test("tasks of a worker that crashes have an unknown outcome and are not started on another worker", async () => {
        const first = await startWorker("a", 4);
        const pool = newPool("owner");
        pool.setWorkers([first.announcement]);
        const completions = runTasks(pool, 4, 60_000);
        await waitUntil(() => first.worker.runningCount === 4);
        const second = await startWorker("b", 4);
        pool.setWorkers([first.announcement, second.announcement]);
        await first.worker.close();
        expect(getOutcomes(await completions)).toEqual(["unknown"]);
        expect(second.worker.starts.size).toBe(0);
    });

    test("a worker refuses starts from an owner whose lease has passed to another owner", async () => {
        const { worker, announcement } = await startWorker("a", 4);
        const newLink = (ownerId: string) =>
            new WorkerLink({
                announcement,
                ownerId,
                timers,
                logger: newSilentLogger(),
                onLeaseChange: () => undefined,
            });
        const old = newLink("old-owner");
        const next = newLink("new-owner");
        void old.keepLease();
        await waitUntil(() => old.holdsLease);
        void next.keepLease();
        await new Promise(resolve => setTimeout(resolve, 50));
        expect(next.holdsLease).toBe(false);
        await old.close(true);
        await waitUntil(() => next.holdsLease);
        const staleLink = newLink("old-owner");
        const replyStates: string[] = [];
        const task: OwnedTask = {
            jobId: toJobId("late"),
            team: "touring",
            urgent: true,
            specification: {
                id: "task",
                kind: "price",
                processors: 1,
                memoryMebibytes: 0,
                accelerators: 0,
                declaredRunMs: 1,
                payload: "",
            },
            enqueuedAt: 0,
            deadline: Infinity,
            report: () => undefined,
        };
        await staleLink.start([task], (_task, reply) => replyStates.push(reply.state));
        expect([replyStates, worker.starts.size]).toEqual([["refused"], 0]);
        await Promise.all([staleLink.close(false), next.close(true)]);
    });

    test("a worker that fails every task is quarantined and the others run the tasks", async () => {
        const bad = await startWorker("a", 4);
        const good = await startWorker("b", 4);
        bad.worker.failsAllTasks = true;
        const pool = newPool("owner");
        pool.setWorkers([bad.announcement, good.announcement]);
        await runTasks(pool, 30, 5);
        const failedBefore = bad.worker.starts.size;
        const completions = await runTasks(pool, 30, 5);
        expect(getOutcomes(completions)).toEqual(["answered"]);
        expect(bad.worker.starts.size).toBe(failedBefore);
    });
});
