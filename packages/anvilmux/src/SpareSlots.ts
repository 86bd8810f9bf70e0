/**
 * Free slots that other zones reported for one service, used up here between two reports, so that a report that is
 * some time old does not draw more requests to a zone than it can take.
 */

import type { Clock, Milliseconds, Random } from "@anvilmux/common";
import type { ZoneSpare } from "./ZoneView";

const refreshPeriodMs = 500;

export class SpareSlots {
    private zones: readonly ZoneSpare[] = [];
    private left = 0;
    private readAt: Milliseconds = -Infinity;

    constructor(
        private readonly clock: Clock,
        private readonly random: Random,
        private readonly readSpare: () => readonly ZoneSpare[],
    ) {}

    /** Uses up one slot; false when none is left until the next report. */
    take(): boolean {
        this.refresh();
        if (this.left < 1) {
            return false;
        }
        this.left -= 1;
        return true;
    }

    /** A zone with free slots, at random in proportion to them. */
    pickZone(): string | undefined {
        this.refresh();
        let rest = this.random.next() * this.zones.reduce((sum, zone) => sum + zone.free, 0);
        return this.zones.find(zone => (rest -= zone.free) < 0)?.zone;
    }

    private refresh(): void {
        const now = this.clock.now();
        if (now - this.readAt >= refreshPeriodMs) {
            this.readAt = now;
            this.zones = this.readSpare();
            this.left = this.zones.reduce((sum, zone) => sum + zone.free, 0);
        }
    }
}
