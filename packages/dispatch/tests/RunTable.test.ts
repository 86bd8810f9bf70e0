/** The table of a worker's runs: which resources they use, and whether those of a found run are still unknown. */

import { newRun, RunTable, toTaskName } from "@anvilmux/dispatch";
import type { Run, TaskRequest } from "@anvilmux/dispatch";

const newRequest = (name: string, millicores: number): TaskRequest => ({
    name: toTaskName(name),
    millicores,
    memoryMebibytes: 64,
    accelerators: 0,
    estimateMs: 100,
});

const newKnownRun = (name: string, run: number, request: TaskRequest | undefined): Run =>
    newRun({ task: toTaskName(name), run, request, orderedAt: 0, startDeadline: 100, incarnation: 1 });

describe("table of a worker's runs", () => {
    test("a found run is unknown until its request is set", () => {
        const table = new RunTable(() => undefined);
        const found = newKnownRun("a", 1, undefined);
        table.add(found);
        table.add(newKnownRun("b", 1, newRequest("b", 2_000)));
        expect([table.hasUnknownRuns(), table.used.millicores]).toEqual([true, 2_000]);
        table.setRequest(found, newRequest("a", 1_000));
        table.setRequest(found, newRequest("a", 1_000));
        expect([table.hasUnknownRuns(), table.used.millicores]).toEqual([false, 3_000]);
    });

    test("an unknown run that ended is no longer counted, also when it is removed twice", () => {
        const table = new RunTable(() => undefined);
        const [first, second] = [newKnownRun("a", 1, undefined), newKnownRun("b", 1, undefined)];
        [first, second].forEach(run => table.add(run));
        table.remove(first);
        table.remove(first);
        expect(table.hasUnknownRuns()).toBe(true);
        table.remove(second);
        expect([table.hasUnknownRuns(), table.size]).toEqual([false, 0]);
    });

    test("resources are released once, when a run is removed twice or replaced by a later run of its task", () => {
        const table = new RunTable(() => undefined);
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
