/**
 * How many workers an instance knows, in all and in one zone. Anybody who reaches control can announce workers, and every
 * entry of the zone connects to each; a new one beyond the limit takes the place of one that left or is not heard of
 * any longer, or is refused. Those that are heard of keep their places.
 */

import type { Milliseconds } from "@anvilmux/common";
import type { WorkerAnnouncement } from "@anvilmux/dispatch";

export interface WorkerLimits {
    readonly total: number;
    readonly perZone: number;
}

/** Several times the workers of the largest zone and deployment. */
export const defaultWorkerLimits: WorkerLimits = { total: 10_000, perZone: 1_000 };

/**
 * Time after its last announcement at which a worker loses its place to a new one where there is none left. Workers
 * announce themselves every few seconds; one of which another instance hears is known there by a later announcement.
 */
const silenceMs: Milliseconds = 30_000;

interface Place {
    readonly announcement: WorkerAnnouncement;
    readonly heardAt: Milliseconds;
}

export class WorkerPlaces {
    private readonly perZone = new Map<string, number>();

    constructor(private readonly limits: WorkerLimits) {}

    add({ zone }: WorkerAnnouncement): void {
        this.perZone.set(zone, (this.perZone.get(zone) ?? 0) + 1);
    }

    remove({ zone }: WorkerAnnouncement): void {
        const left = (this.perZone.get(zone) ?? 0) - 1;
        if (left > 0) {
            this.perZone.set(zone, left);
        }
        else {
            this.perZone.delete(zone);
        }
    }

    isZoneFull(zone: string): boolean {
        return (this.perZone.get(zone) ?? 0) >= this.limits.perZone;
    }
}

/**
 * The place that a new worker takes: of one that left, else of one that has not been heard of for long. `places` are in
 * the order in which they were last heard of.
 */
export const findDispensableWorker = (
    places: Iterable<Place>,
    now: Milliseconds,
    zone: string | undefined,
): WorkerAnnouncement | undefined => {
    let silent: WorkerAnnouncement | undefined;
    for (const { announcement, heardAt } of places) {
        if (zone !== undefined && announcement.zone !== zone) {
            continue;
        }
        if (announcement.state === "left") {
            return announcement;
        }
        silent ??= now - heardAt > silenceMs ? announcement : undefined;
    }
    return silent;
};
