/**
 * Reports of the zone's free capacity to the owners of other zones. While any zone is drained, all its jobs depend on
 * these reports: they list all workers, follow a change sooner, and are repeated without a change, since a zone that
 * refused a task counts as full until its next report.
 */

import type { Clock, Milliseconds, Timers, Unsubscribe } from "@anvilmux/common";
import { capacityReportPeriodMs, drainedCapacityReportPeriodMs } from "@anvilmux/dispatch";
import type { FreeCapacity } from "@anvilmux/dispatch";

export interface CapacityReportsOptions {
    readonly clock: Clock;
    readonly timers: Timers;
    /** The free capacity of at most `limit` workers of each service; of the usual number when it is undefined. */
    readonly getFreeCapacity: (limit: number | undefined) => FreeCapacity;
    readonly send: (free: FreeCapacity) => void;
}

export class CapacityReports {
    private lastReport = "";
    private lastReportAt: Milliseconds = -Infinity;
    private isAnyZoneDrained = false;
    private unsubscribe: Unsubscribe;

    constructor(private readonly options: CapacityReportsOptions) {
        this.unsubscribe = this.repeat();
    }

    stop(): void {
        this.unsubscribe();
    }

    setAnyZoneDrained(isAnyZoneDrained: boolean): void {
        if (isAnyZoneDrained !== this.isAnyZoneDrained) {
            this.isAnyZoneDrained = isAnyZoneDrained;
            this.unsubscribe();
            this.unsubscribe = this.repeat();
        }
    }

    /** The capacity that a report lists now. */
    getFreeCapacity(): FreeCapacity {
        return this.options.getFreeCapacity(this.isAnyZoneDrained ? Infinity : undefined);
    }

    private repeat(): Unsubscribe {
        const period = this.isAnyZoneDrained ? drainedCapacityReportPeriodMs : capacityReportPeriodMs;
        return this.options.timers.every(period, () => this.report());
    }

    /** Reports the free capacity when it has changed, and while a zone is drained also after the usual period. */
    private report(): void {
        const free = this.getFreeCapacity();
        const text = JSON.stringify(free);
        const now = this.options.clock.now();
        const isRepeated = this.isAnyZoneDrained && now - this.lastReportAt >= capacityReportPeriodMs;
        if (text !== this.lastReport || isRepeated) {
            this.lastReport = text;
            this.lastReportAt = now;
            this.options.send(free);
        }
    }
}
