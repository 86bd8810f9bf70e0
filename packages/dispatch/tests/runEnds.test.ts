/** What an owner logs when a run ends other than `done`, so that the cause can be told from its log alone. */

import { toTaskName } from "@anvilmux/dispatch";
import type { ConnectWorker } from "@anvilmux/dispatch";
import { Metrics, newSilentLogger } from "@anvilmux/telemetry";
import type { LogFields, Logger } from "@anvilmux/telemetry";
import { ListReader } from "../src/ListReader";
import { RelayedWorkers } from "../src/RelayedWorkers";
import { newRun, RunTable } from "../src/RunTable";
import { WorkerTime } from "../src/WorkerTime";
import { SchedulerFixture } from "./schedulerFixture";

type LoggedLine = LogFields & { readonly message: string; };

const patient = { runMs: 5_000, objectiveMs: 20_000, remainingMs: 30_000 };
const runEnd = "run ended without success";

const newRecordingLogger = (lines: LoggedLine[]): Logger => {
    const write = (message: string, fields: LogFields = {}) => void lines.push({ ...fields, message });
    const logger: Logger = { debug: write, info: write, warn: write, error: write, with: () => logger };
    return logger;
};

const newFixture = async (wrap: (connect: ConnectWorker) => ConnectWorker = connect => connect) => {
    const lines: LoggedLine[] = [];
    const metrics = new Metrics();
    const fixture = new SchedulerFixture(1);
    const scheduler = fixture.newScheduler(1, () => 1, wrap(fixture.connect), {
        logger: newRecordingLogger(lines),
        metrics,
    });
    await fixture.time.advance(50);
    const find = (message: string) => lines.filter(line => line.message === message);
    return { fixture, scheduler, worker: fixture.workers[0]!, metrics, find };
};

describe("the log of a run's end does not tell", () => {
    test("an expired lease, from when the owner reckoned with it and from which clock sample", async () => {
        const { fixture, scheduler, worker, metrics, find } = await newFixture();
        fixture.submit(scheduler, fixture.newJob("a", patient));
        await fixture.time.advance(600);
        worker.isUnreachable = true;
        await fixture.time.advance(2_500);
        const [silence] = find("worker does not answer");
        expect(silence).toMatchObject({ worker: "worker-1", runs: 1 });
        expect(silence!["possibleForMs"]).toBeGreaterThan(0);
        const [end] = find(runEnd);
        expect(end).toMatchObject({
            job: "a",
            task: "a.0",
            worker: "worker-1",
            outcome: "lost",
            cause: "lease-expired",
            state: "running",
            incarnation: 1,
            clockIncarnation: 1,
        });
        expect(end!["possibleForMs"]).toBeLessThanOrEqual(0);
        expect(end!["orderedMs"]).toBeGreaterThan(end!["confirmedMs"] as number);
        expect(end!["clockAgeMs"]).toBeGreaterThan(1_000);
        expect(metrics.getCount("anvilmux_run_ends_total", { outcome: "lost", cause: "lease-expired" })).toBe(1);
    });

    test("a new incarnation, with both incarnations and the runs that were lost", async () => {
        const { fixture, scheduler, worker, find } = await newFixture();
        fixture.submit(scheduler, fixture.newJob("a", { ...patient, tasks: 2 }));
        await fixture.time.advance(600);
        worker.restart();
        await fixture.time.advance(600);
        const [restart] = find("worker restarted");
        expect(restart).toMatchObject({ worker: "worker-1", formerIncarnation: 1, incarnation: 2, earlierRuns: 2 });
        expect(restart!["runs"]).toMatch(/^a\.0 \d+ running, a\.1 \d+ running$/);
        expect(find(runEnd)[0]).toMatchObject({ cause: "new-incarnation", incarnation: 2, announcedIncarnation: 1 });
    });

    test("a start whose connection was refused, and the relay that made the call", async () => {
        const { fixture, scheduler, find } = await newFixture(connect => target => ({
            ...connect(target),
            start: async () => ({ kind: "unanswered", reason: "refused", isRefused: true, relay: "entry-2" }),
        }));
        fixture.submit(scheduler, fixture.newJob("a", patient));
        await fixture.time.advance(20);
        expect(find(runEnd)[0]).toMatchObject({
            outcome: "never-started",
            cause: "connection-refused",
            relay: "entry-2",
            state: "ordered",
            incarnation: 1,
        });
    });

    test("the stop of a run whose job is gone", async () => {
        const { fixture, scheduler, find } = await newFixture();
        const job = fixture.newJob("a", patient);
        fixture.submit(scheduler, job);
        await fixture.time.advance(300);
        scheduler.cancel(job.id, "home", "its caller left");
        await fixture.time.advance(300);
        expect(find(runEnd)).toHaveLength(1);
        expect(find(runEnd)[0]).toMatchObject({ task: "a.0", outcome: "stopped", cause: "listed", isAssigned: false });
    });
});

test("the line on a placement does not tell that the job was submitted before, or carries that for every job", async () => {
    const { fixture, scheduler, find } = await newFixture();
    fixture.submit(scheduler, fixture.newJob("first", patient));
    fixture.submit(scheduler, fixture.newJob("again", { ...patient, resubmitted: true }));
    await fixture.time.advance(4_000);
    const [first, again] = find("task placed");
    expect(first).toMatchObject({ job: "first", resubmitted: undefined, mayRunElsewhere: undefined });
    expect(again).toMatchObject({ job: "again", resubmitted: true, mayRunElsewhere: undefined });
});

test("a line on a restart grows with the worker's runs", () => {
    const lines: LoggedLine[] = [];
    const { time } = new SchedulerFixture(0);
    const runs = new RunTable(() => undefined);
    const reader = new ListReader({
        clock: time,
        logger: newRecordingLogger(lines),
        worker: new SchedulerFixture(1).workers[0]!.announcement.id,
        runs,
        time: new WorkerTime(time),
        onEnd: run => runs.remove(run),
        onFound: () => undefined,
        onStandstill: () => undefined,
        onRestart: () => undefined,
    });
    reader.read({ clock: 1, incarnation: 1, running: [], completions: [] }, 0);
    for (let index = 0; index < 40; index++) {
        const task = toTaskName(`job.${index}`);
        runs.add(newRun({ task, run: 1, request: undefined, orderedAt: 0, startDeadline: 0, incarnation: 1 }));
    }
    reader.read({ clock: 1, incarnation: 2, running: [], completions: [] }, 0);
    expect(lines[0]).toMatchObject({ earlierRuns: 40 });
    expect(lines[0]!["runs"]).toBe(
        "job.0 1 ordered, job.1 1 ordered, job.2 1 ordered, job.3 1 ordered, job.4 1 ordered",
    );
});

test("a relayed call without an answer, or with a refused start, does not name its relay", async () => {
    const fixture = new SchedulerFixture(40);
    const sent: number[] = [];
    const relayed = new RelayedWorkers({
        connect: fixture.connect,
        getRelays: () => ["a", "b", "c", "d", "e"],
        send: (_, { number }) => sent.push(number) > 0,
        clock: fixture.time,
        timers: fixture.time,
        logger: newSilentLogger(),
        metrics: new Metrics(),
    });
    const [driver] = fixture.workers.map(worker => relayed.connect(worker.announcement));
    const order = { task: toTaskName("a.0"), run: 1, payload: "", fencingToken: 1, deadline: 0 };
    const refused = driver!.start(order);
    await fixture.time.advance(1);
    relayed.handleAnswer(sent[0]!, { kind: "refused", reason: "late", clock: 7 });
    expect(await refused).toEqual({ kind: "refused", reason: "late", clock: 7, relay: "a" });
    const lost = driver!.start(order);
    await fixture.time.advance(1);
    relayed.handleDisconnected("a");
    expect(await lost).toMatchObject({ kind: "unanswered", isRelayLost: true, relay: "a" });
});
