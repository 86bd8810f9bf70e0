/** Reconstruction of a request's history from log lines. */

import { explainLogs, formatExplainedLine } from "@anvilmux/telemetry";

const newLine = (time: number, instance: string, message: string, context: object): string =>
    JSON.stringify({ context: { instance, zone: "z", logLevel: 30, ...context }, message, time, sequence: "1" });

const lines = [
    newLine(500, "entry-2", "worker announced", {}),
    newLine(1_000, "entry-1", "task placed", { job: "a1", task: "a1.0.0.0", worker: "w1", run: 3 }),
    newLine(1_010, "entry-1", "task placed", { job: "b2", task: "b2.0.0.0", worker: "w1" }),
    "not a line",
    "   1.2000 entry-1 " + newLine(1_200, "entry-1", "worker does not answer", { worker: "w1" }),
    newLine(2_300, "entry-1", "start without an answer", { task: "a1.0.0.0", worker: "w1" }),
    newLine(1_500, "entry-3", "job answered", { job: "a1", answer: "unknown" }),
    newLine(9_000, "entry-1", "worker reachable", { worker: "w1" }),
];

test("returns the request's lines ordered by time, with context lines of its instances", () => {
    const explained = explainLogs(lines, "a1");
    expect(explained.map(line => [line.time, line.isAboutRequest])).toEqual([
        [1_000, true],
        [1_200, false],
        [1_500, true],
        [2_300, true],
    ]);
    expect(formatExplainedLine(explained[0]!, 1_000))
        .toBe("       +0 ms  entry-1  task placed  job=a1 task=a1.0.0.0 worker=w1 run=3");
});

test("the result is empty for an id that no line names", () => {
    expect(explainLogs(lines, "zz")).toEqual([]);
});
