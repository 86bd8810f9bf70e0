/**
 * The zones that this instance knows from members, entries and workers, present or former. They tell a request for a
 * misspelt zone from one for a zone of which this instance has not heard yet.
 */

import type { Clock, Milliseconds, ZoneId } from "@anvilmux/common";

/** `undecided` while the instance has not known an entry for long enough to have heard of the other zones. */
export type ZoneKnowledge = "known" | "unknown" | "undecided";

/** Time since the first entry was heard after which entries of all zones are expected to have been heard. */
const introductionMs: Milliseconds = 3_000;

/** Zones that are known at a time; many times those of the largest deployment. */
const maximumZones = 1_024;

export class KnownZones {
    private readonly zones = new Set<ZoneId>();
    private firstEntryAt: Milliseconds | undefined;

    constructor(private readonly clock: Clock) {}

    /** Records the zone of a worker or of an instance that is no entry. */
    recordZone(zone: ZoneId): void {
        if (this.zones.size < maximumZones) {
            this.zones.add(zone);
        }
    }

    recordEntry(zone: ZoneId): void {
        this.recordZone(zone);
        this.firstEntryAt ??= this.clock.now();
    }

    getAll(): readonly ZoneId[] {
        return [...this.zones];
    }

    getKnowledge(zone: ZoneId): ZoneKnowledge {
        if (this.zones.has(zone)) {
            return "known";
        }
        const isIntroduced = this.firstEntryAt !== undefined && this.clock.now() - this.firstEntryAt >= introductionMs;
        return isIntroduced ? "unknown" : "undecided";
    }
}
