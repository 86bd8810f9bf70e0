/** How long a process with a share of a core must not run. */

import { ProcessorCredit } from "../src/processorBudget";

const share = 0.25;

test("a process that uses its share or less is not blocked", () => {
    const credit = new ProcessorCredit(share);
    expect(credit.record(4, 1)).toBe(0);
    expect(credit.record(4, 0)).toBe(0);
    expect(credit.record(4, 2)).toBe(0);
});

test("a process that used more than its share is blocked until its share has caught up", () => {
    const credit = new ProcessorCredit(share);
    const blockMs = credit.record(4, 3);
    expect(blockMs).toBe(8);
    expect(credit.record(blockMs, 0)).toBe(0);
    expect(credit.record(4, 2)).toBe(4);
});

test("unused time counts only up to a bound", () => {
    const credit = new ProcessorCredit(share);
    expect(credit.record(10_000, 0)).toBe(0);
    expect(credit.record(0, 8)).toBe(0);
    expect(credit.record(0, 1)).toBe(4);
});
