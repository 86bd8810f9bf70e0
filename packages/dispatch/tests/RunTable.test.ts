/** The table of a worker's runs and the resources that they use. */

import { newRun, RunTable, toTaskName } from "@anvilmux/dispatch";
import type { Run, TaskRequest } from "@anvilmux/dispatch";

const newRequest = (name: string, millicores: number): TaskRequest => ({
    name: toTaskName(name),
    millicores,
    memoryMebibytes: 64,
    accelerators: 0,
    estimateMs: 100,
});

const newKnownRun = (name: string, run: number, request: TaskRequest): Run =>
    newRun({ task: toTaskName(name), run, request, orderedAt: 0, startDeadline: 100 });

describe("table of a worker's runs", () => {
    test("resources are released once, when a run is removed twice or replaced by a later run of its task", () => {
        const table = new RunTable();
        const request = newRequest("a", 2_000);
        const [first, second] = [newKnownRun("a", 1, request), newKnownRun("a", 2, request)];
        table.add(first);
        table.add(second);
        expect(table.used.millicores).toBe(2_000);
        table.remove(first);
        expect([table.used.millicores, table.get(second.task)]).toEqual([2_000, second]);
        table.remove(second);
        table.remove(second);
        expect(table.used.millicores).toBe(0);
    });
});
