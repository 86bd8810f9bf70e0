/** Timers of the system: subscriptions that share an interval. */

import { newSystemTimers } from "@anvilmux/common";

const pause = (duration: number): Promise<void> => new Promise(resolve => setTimeout(resolve, duration));

/** Counts the intervals that are set meanwhile. */
const countIntervals = (action: () => void): number => {
    const original = globalThis.setInterval;
    let count = 0;
    globalThis.setInterval = ((...callArguments: Parameters<typeof setInterval>) => {
        count += 1;
        return original(...callArguments);
    }) as typeof setInterval;
    try {
        action();
    }
    finally {
        globalThis.setInterval = original;
    }
    return count;
};

describe("subscriptions of one period", () => {
    test("share an interval, and all are called", async () => {
        const timers = newSystemTimers();
        const called = [0, 0, 0];
        const cancels: (() => void)[] = [];
        const intervals = countIntervals(() =>
            called.forEach((_, index) => cancels.push(timers.every(5, () => called[index]! += 1)))
        );
        while (called.some(count => count < 2)) {
            await pause(1);
        }
        cancels.forEach(cancel => cancel());
        expect(intervals).toBe(1);
    });

    test("of the same function are cancelled one by one", async () => {
        const timers = newSystemTimers();
        let calls = 0;
        const listener = () => void (calls += 1);
        const cancelFirst = timers.every(5, listener);
        const cancelSecond = timers.every(5, listener);
        cancelFirst();
        cancelFirst();
        while (calls < 2) {
            await pause(1);
        }
        cancelSecond();
        const before = calls;
        await pause(20);
        expect(calls).toBe(before);
    });

    test("go on after one of them was cancelled during a call", async () => {
        const timers = newSystemTimers();
        let calls = 0;
        const cancelFirst: () => void = timers.every(5, () => cancelFirst());
        const cancelSecond = timers.every(5, () => calls += 1);
        while (calls < 3) {
            await pause(1);
        }
        cancelSecond();
        expect(calls).toBeGreaterThanOrEqual(3);
    });
});
