/** What accepted jobs occupy is bounded, and large ones leave room for others. */

import { getDefaultLimits, getJobMemoryLimits, JobMemory, largeJobBytes, MemoryBudget } from "@anvilmux/intake";

const newFixture = (totalBytes: number, largeBytes: number, budgetBytes = 10 * totalBytes) => {
    const budget = new MemoryBudget({ totalBytes: budgetBytes, addressBytes: budgetBytes });
    return { budget, memory: new JobMemory(budget, { totalBytes, largeBytes }) };
};

describe("memory of accepted jobs", () => {
    test("is not bounded, or not released at their end", () => {
        const { budget, memory } = newFixture(1_000, 1_000);
        const release = memory.hold(900);
        expect(memory.hold(101)).toBeUndefined();
        expect(budget.heldBytes).toBe(900);
        release!();
        release!();
        expect(budget.heldBytes).toBe(0);
        expect(memory.hold(1_000)).toBeDefined();
    });

    test("is taken by large jobs alone", () => {
        const { memory } = newFixture(5 * largeJobBytes, 3 * largeJobBytes);
        const release = memory.hold(2 * largeJobBytes);
        expect(memory.hold(2 * largeJobBytes)).toBeUndefined();
        expect(memory.hold(largeJobBytes)).toBeDefined();
        release!();
        expect(memory.hold(2 * largeJobBytes)).toBeDefined();
    });

    test("is taken from other clients beyond the sum of all", () => {
        const { budget, memory } = newFixture(1_000, 1_000, 1_200);
        budget.openAccount("client", 1_200).charge(500);
        expect(memory.hold(800)).toBeUndefined();
        expect(memory.hold(700)).toBeDefined();
    });

    // The widest job within the limits, at its entry and at its owner in one process, on the smallest machine.
    test("does not suffice for a single job within the limits", () => {
        const machineBytes = 210 * 1_048_576;
        const { memoryBytes } = getDefaultLimits({ heapBytes: 248 * 1_048_576, descriptors: 2_212, machineBytes });
        const budget = new MemoryBudget({ totalBytes: memoryBytes, addressBytes: memoryBytes });
        const memory = new JobMemory(budget, getJobMemoryLimits(memoryBytes));
        expect(memory.hold(1_024 + 65_536 + 10_000 * 320)).toBeDefined();
        expect(memory.hold(1_024 + 65_536 + 10_000 * 400)).toBeDefined();
    });
});
