/** Runs that stand still and runs that are slow, from the percentages that lists give. */

import { RunProgress } from "../src/RunProgress";

const estimateMs = 200;

/** Whether any of the lists, one each `periodMs`, shows a standstill. */
const isFoundStill = (getPercent: (ms: number) => number, periodMs: number, untilMs: number): boolean => {
    const progress = new RunProgress();
    const results: boolean[] = [];
    for (let ms = periodMs; ms <= untilMs; ms += periodMs) {
        results.push(progress.note(Math.min(99, Math.floor(getPercent(ms))), ms, estimateMs));
    }
    return results.includes(true);
};

describe("progress of a run", () => {
    test("a run that stood still from the start is found within three quarters of its estimate", () => {
        expect(isFoundStill(() => 0, 30, 150)).toBe(true);
    });

    test("a run that stops halfway is found by its own pace", () => {
        expect(isFoundStill(ms => Math.min(50, ms / 2), 50, 300)).toBe(true);
    });

    test.each([1, 3, 8])("a run at %i times the usual time is slow, not still", factor => {
        expect(isFoundStill(ms => ms / (2 * factor), 20, 200 * factor - 20)).toBe(false);
    });

    test("a run that turns eight times slower on its way is slow, not still", () => {
        expect(isFoundStill(ms => ms < 100 ? ms / 2 : 50 + (ms - 100) / 16, 20, 880)).toBe(false);
    });

    test("a run of unknown length is judged by its own pace only", () => {
        const progress = new RunProgress();
        expect(progress.note(0, 0, undefined)).toBe(false);
        expect(progress.note(0, 100_000, undefined)).toBe(false);
        expect(progress.note(40, 100_400, undefined)).toBe(false);
        expect(progress.note(40, 200_000, undefined)).toBe(true);
    });
});
