/**
 * Measures how late the event loop of this process runs its timers, and the processor time that the process has used.
 * A late loop delays everything that the process does, and lets its own time limits pass before it reads answers that
 * have arrived.
 */

import type { Clock, Milliseconds, Timers, Unsubscribe } from "@anvilmux/common";
import type { Logger } from "./logger";
import type { Metrics } from "./Metrics";

const samplePeriodMs = 100;
const reportPeriodMs = 1_000;
/** Delay from which a report is written. */
const reportedDelayMs = 50;
const microsecondsPerSecond = 1_000_000;

export interface LoopDelayMonitorOptions {
    readonly clock: Clock;
    readonly timers: Timers;
    readonly logger: Logger;
    readonly metrics: Metrics;
    /** Processor time used by the process so far, in microseconds. */
    readonly getProcessorTime: () => number;
}

export class LoopDelayMonitor {
    private lastSampleAt: Milliseconds;
    private lastReportAt: Milliseconds;
    private longestMs: Milliseconds = 0;
    private reportedProcessorTime: number;
    private readonly unsubscribe: Unsubscribe;

    constructor(private readonly options: LoopDelayMonitorOptions) {
        this.lastSampleAt = options.clock.now();
        this.lastReportAt = this.lastSampleAt;
        this.reportedProcessorTime = options.getProcessorTime();
        options.metrics.gauge(
            "anvilmux_processor_seconds",
            {},
            () => options.getProcessorTime() / microsecondsPerSecond,
        );
        this.unsubscribe = options.timers.every(samplePeriodMs, () => this.sample());
    }

    stop(): void {
        this.unsubscribe();
    }

    private sample(): void {
        const now = this.options.clock.now();
        const delayMs = Math.max(0, now - this.lastSampleAt - samplePeriodMs);
        this.lastSampleAt = now;
        this.longestMs = Math.max(this.longestMs, delayMs);
        this.options.metrics.observe("anvilmux_loop_delay_ms", {}, delayMs);
        if (now - this.lastReportAt >= reportPeriodMs) {
            this.report(now);
        }
    }

    /** Writes one line for each period in which the loop was late. */
    private report(now: Milliseconds): void {
        const used = this.options.getProcessorTime();
        if (this.longestMs >= reportedDelayMs) {
            this.options.logger.warn("event loop late", {
                longestMs: Math.round(this.longestMs),
                processorMs: Math.round((used - this.reportedProcessorTime) / 1_000),
                periodMs: Math.round(now - this.lastReportAt),
            });
        }
        this.reportedProcessorTime = used;
        this.lastReportAt = now;
        this.longestMs = 0;
    }
}

/** Processor time used by this process, in microseconds. */
export const getProcessorTime = (): number => {
    const { user, system } = process.cpuUsage();
    return user + system;
};
