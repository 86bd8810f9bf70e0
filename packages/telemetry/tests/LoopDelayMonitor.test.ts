/** Reports of a late event loop. */

import { LoopDelayMonitor, Metrics, newSilentLogger } from "@anvilmux/telemetry";
import type { LogFields } from "@anvilmux/telemetry";

const newMonitor = () => {
    let now = 0;
    let fire: () => void = () => undefined;
    const reports: (LogFields | undefined)[] = [];
    const metrics = new Metrics();
    const monitor = new LoopDelayMonitor({
        clock: { now: () => now, wallNow: () => now },
        timers: {
            after: () => () => undefined,
            every: (_period, listener) => {
                fire = listener;
                return () => undefined;
            },
        },
        logger: { ...newSilentLogger(), warn: (_message, fields) => reports.push(fields) },
        metrics,
        getProcessorTime: () => now * 500,
    });
    const sampleAfter = (elapsedMs: number) => {
        now += elapsedMs;
        fire();
    };
    return { monitor, metrics, reports, sampleAfter };
};

describe("event loop delay", () => {
    test("a period with a late loop is reported with its longest delay and the processor time used", () => {
        const { sampleAfter, reports } = newMonitor();
        sampleAfter(100);
        sampleAfter(400);
        sampleAfter(170);
        Array.from({ length: 5 }, () => sampleAfter(100));
        expect(reports).toEqual([{ longestMs: 300, processorMs: 535, periodMs: 1_070 }]);
    });

    test("a loop in time is not reported, and its delays are exported", () => {
        const { sampleAfter, reports, metrics } = newMonitor();
        Array.from({ length: 100 }, () => sampleAfter(101));
        expect(reports).toEqual([]);
        expect(metrics.toPrometheusText()).toContain("anvilmux_loop_delay_ms_count 100");
    });
});
