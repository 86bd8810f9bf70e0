/** Reading of a worker's lists: runs that another owner started meanwhile. */

import { VirtualTime } from "@anvilmux/common";
import { newRun, RunTable, toTaskName, toWorkerId } from "@anvilmux/dispatch";
import { newSilentLogger } from "@anvilmux/telemetry";
import { ListReader } from "../src/ListReader";
import { WorkerTime } from "../src/WorkerTime";

const task = toTaskName("job.0");

const newFixture = () => {
    const time = new VirtualTime();
    const events: string[] = [];
    const runs = new RunTable(() => undefined);
    const reader = new ListReader({
        clock: time,
        logger: newSilentLogger(),
        worker: toWorkerId("w"),
        runs,
        time: new WorkerTime(time),
        onEnd: (run, { outcome, cause }) => {
            runs.remove(run);
            events.push(`${run.run} ${outcome} ${cause}`);
        },
        onFound: run => events.push(`${run.run} found`),
        onStandstill: () => undefined,
        onRestart: () => undefined,
    });
    const addRun = (run: number) => {
        const record = newRun({ task, run, request: undefined, orderedAt: 0, startDeadline: 0, incarnation: 1 });
        record.state = "running";
        runs.add(record);
    };
    /** Reads a list, with one run or none, that was requested at `sentAt`. */
    const list = (run: number | undefined, sentAt = 0) => {
        const running = run === undefined ? [] : [{ task, run, percent: 0 }];
        return reader.read({ clock: 1, incarnation: 1, running, completions: [] }, sentAt);
    };
    return { events, runs, addRun, list, time };
};

test("a later run of a task, which another owner started, replaces the run that is known", () => {
    const { events, runs, addRun, list } = newFixture();
    addRun(1);
    list(66);
    expect(events).toEqual(["1 lost replaced", "66 found"]);
    expect(runs.get(task)?.run).toBe(66);
});

test("an earlier run of a task does not replace the run that is known", () => {
    const { events, addRun, list } = newFixture();
    addRun(66);
    list(1);
    expect(events).not.toContain("1 found");
});

test("a run that was found is not ended by a list that was requested before", async () => {
    const { events, runs, list, time } = newFixture();
    await time.advance(10);
    list(66);
    await time.advance(10);
    list(undefined, 5);
    expect(events).toEqual(["66 found"]);
    expect(runs.get(task)?.run).toBe(66);
});
