/** Counts refusals by cause and logs them, at most one line for each cause and period. */

import type { Clock, Milliseconds } from "@anvilmux/common";
import type { Logger, Metrics } from "@anvilmux/telemetry";
import type { MemoryRefusal } from "./MemoryBudget";

export type RefusalCause =
    | MemoryRefusal
    | "too-large"
    | "fragmented"
    | "open-requests"
    | "unread-responses"
    | "connections"
    | "timeout"
    | "headers-too-large"
    | "malformed"
    /** A connection to a port for other instances that did not say in time, or not first, who it is. */
    | "unknown-peer";

export interface RefusalsOptions {
    readonly clock: Clock;
    readonly logger: Logger;
    readonly metrics: Metrics;
}

const logPeriodMs: Milliseconds = 1_000;

export class Refusals {
    /** Time of the last line of a cause, and refusals since then. */
    private readonly logged = new Map<RefusalCause, { at: Milliseconds; unlogged: number; }>();

    constructor(private readonly options: RefusalsOptions) {}

    report(cause: RefusalCause, address: string): void {
        const { clock, logger, metrics } = this.options;
        metrics.count("anvilmux_refused_requests_total", { cause });
        const now = clock.now();
        const last = this.logged.get(cause);
        if (last && now - last.at < logPeriodMs) {
            last.unlogged += 1;
            return;
        }
        this.logged.set(cause, { at: now, unlogged: 0 });
        logger.warn("request or connection refused", { cause, address, unloggedBefore: last?.unlogged ?? 0 });
    }
}
