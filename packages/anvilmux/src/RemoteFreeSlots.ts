/**
 * The free slots that other zones reported for one service. Slots taken here are subtracted until the next refresh, so
 * that an outdated report does not draw more requests to other zones than they can take.
 */

import type { Clock, Milliseconds, Random } from "@anvilmux/common";
import type { ZoneFreeSlots } from "./ZoneView";

const refreshPeriodMs = 500;

export class RemoteFreeSlots {
    private zones: readonly ZoneFreeSlots[] = [];
    private remaining = 0;
    private readAt: Milliseconds = -Infinity;

    constructor(
        private readonly clock: Clock,
        private readonly random: Random,
        private readonly readFreeSlots: () => readonly ZoneFreeSlots[],
    ) {}

    /** Takes one slot; false when none remains until the next refresh. */
    take(): boolean {
        this.refresh();
        if (this.remaining < 1) {
            return false;
        }
        this.remaining -= 1;
        return true;
    }

    /** Picks a zone at random, weighted by its free slots; undefined when no zone has any. */
    pickZone(): string | undefined {
        this.refresh();
        let rest = this.random.next() * this.zones.reduce((sum, zone) => sum + zone.free, 0);
        return this.zones.find(zone => (rest -= zone.free) < 0)?.zone;
    }

    private refresh(): void {
        const now = this.clock.now();
        if (now - this.readAt >= refreshPeriodMs) {
            this.readAt = now;
            this.zones = this.readFreeSlots();
            this.remaining = this.zones.reduce((sum, zone) => sum + zone.free, 0);
        }
    }
}
