/** Lists of a worker of which some rows could not be read. */

import { VirtualTime } from "@anvilmux/common";
import { newRun, RunTable, toTaskName, toWorkerId } from "@anvilmux/dispatch";
import type { Run, RunList } from "@anvilmux/dispatch";
import { newSilentLogger } from "@anvilmux/telemetry";
import { ListReader } from "../src/ListReader";
import { WorkerTime } from "../src/WorkerTime";

const listed = toTaskName("listed.0");
const unlisted = toTaskName("unlisted.0");
const ended = toTaskName("ended.0");

const newFixture = async () => {
    const time = new VirtualTime();
    const events: string[] = [];
    const runs = new RunTable(() => undefined);
    for (const task of [listed, unlisted, ended]) {
        const run: Run = newRun({ task, run: 1, request: undefined, orderedAt: 0, startDeadline: 0, incarnation: 1 });
        run.state = "running";
        runs.add(run);
    }
    const reader = new ListReader({
        clock: time,
        logger: newSilentLogger(),
        worker: toWorkerId("w"),
        runs,
        time: new WorkerTime(time),
        onEnd: (run, { outcome }) => {
            runs.remove(run);
            events.push(`${run.task} ${outcome}`);
        },
        onFound: () => undefined,
        onStandstill: () => undefined,
        onRestart: () => undefined,
    });
    await time.advance(10);
    const list: RunList = {
        clock: 1,
        incarnation: 1,
        running: [{ task: listed, run: 1, percent: 0 }],
        completions: [{ number: 1, task: ended, run: 1, how: "done" }],
    };
    return { events, reader, list };
};

test("a run whose row could not be read is taken for one that is gone", async () => {
    const { events, reader, list } = await newFixture();
    reader.read({ ...list, isIncomplete: true }, 5);
    expect(events).toEqual(["ended.0 done"]);
    reader.read(list, 5);
    expect(events).toEqual(["ended.0 done", "unlisted.0 lost"]);
});
