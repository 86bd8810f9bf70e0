/**
 * The largest free capacity of a worker that other zones reported within the last moments. Reports come at intervals,
 * and tasks forwarded since the last one are taken off it, so no reported capacity now does not mean none some
 * milliseconds later.
 */

import type { Clock, Milliseconds } from "@anvilmux/common";
import { recentRoomMs } from "./constants";
import type { FreeCapacity } from "./types";

type LargestFree = Map<string, number>;

export class RecentRoom {
    private current: LargestFree = new Map();
    private former: LargestFree = new Map();
    private currentSince: Milliseconds;
    /** Until then nothing is known, as reports may only be on their way. */
    private readonly unknownUntil: Milliseconds;

    constructor(private readonly clock: Clock) {
        this.currentSince = clock.now();
        this.unknownUntil = this.currentSince + recentRoomMs;
    }

    /** Records what other zones report now. */
    record(reports: readonly FreeCapacity[]): void {
        this.expire();
        for (const [service, free] of reports.flatMap(report => Object.entries(report))) {
            this.current.set(service, Math.max(this.current.get(service) ?? 0, ...free));
        }
    }

    /** True when a worker of another zone may have had this much room within the last `recentRoomMs`. */
    had(service: string, millicores: number): boolean {
        this.expire();
        const largest = Math.max(this.current.get(service) ?? 0, this.former.get(service) ?? 0);
        return largest >= millicores || this.clock.now() < this.unknownUntil;
    }

    /** What was recorded is kept for one to two periods of half of `recentRoomMs`. */
    private expire(): void {
        const elapsed = this.clock.now() - this.currentSince;
        if (elapsed < recentRoomMs / 2) {
            return;
        }
        this.former = elapsed < recentRoomMs ? this.current : new Map();
        this.current = new Map();
        this.currentSince = this.clock.now();
    }
}
