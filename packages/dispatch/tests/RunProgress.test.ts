/** Detection of stalled runs, as opposed to slow ones, from listed progress. */

import { RunProgress } from "../src/RunProgress";

const estimateMs = 200;

/** Whether any of the lists, one each `periodMs`, shows a stalled run. */
const isFoundStalled = (getPercent: (ms: number) => number, periodMs: number, untilMs: number): boolean => {
    const progress = new RunProgress();
    const results: boolean[] = [];
    for (let ms = periodMs; ms <= untilMs; ms += periodMs) {
        results.push(progress.record(Math.min(99, Math.floor(getPercent(ms))), ms, estimateMs));
    }
    return results.includes(true);
};

describe("progress of a run", () => {
    test("a run stalled from the start is detected within three quarters of its estimate", () => {
        expect(isFoundStalled(() => 0, 30, 150)).toBe(true);
    });

    test("a run that stalls halfway is detected by its own pace", () => {
        expect(isFoundStalled(ms => Math.min(50, ms / 2), 50, 300)).toBe(true);
    });

    test.each([1, 3, 8])("a run at %i times the usual time is slow, not stalled", factor => {
        expect(isFoundStalled(ms => ms / (2 * factor), 20, 200 * factor - 20)).toBe(false);
    });

    test("a run that becomes eight times slower halfway is slow, not stalled", () => {
        expect(isFoundStalled(ms => ms < 100 ? ms / 2 : 50 + (ms - 100) / 16, 20, 880)).toBe(false);
    });

    test("a run of unknown length is judged by its own pace only", () => {
        const progress = new RunProgress();
        expect(progress.record(0, 0, undefined)).toBe(false);
        expect(progress.record(0, 100_000, undefined)).toBe(false);
        expect(progress.record(40, 100_400, undefined)).toBe(false);
        expect(progress.record(40, 200_000, undefined)).toBe(true);
    });
});
