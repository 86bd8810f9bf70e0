/** Tracks how many slots each kind of work holds, now and on average. */

import type { Clock } from "@anvilmux/common";
import { usageSmoothingMs } from "./constants";
import type { RunTimes } from "./RunTimes";
import { SmoothedCount } from "./SmoothedCount";
import type { HeldSlot, WaitingRequest } from "./types";

interface KindUsage {
    readonly slots: SmoothedCount;
    urgent: boolean;
}

export class SlotUsage {
    private readonly kinds = new Map<string, KindUsage>();
    private readonly shortSlots: SmoothedCount;

    constructor(private readonly clock: Clock, private readonly runTimes: RunTimes) {
        this.shortSlots = new SmoothedCount(clock, usageSmoothingMs);
    }

    /** Average number of slots held by short urgent work. */
    get averageShortSlots(): number {
        return this.shortSlots.average;
    }

    count(slot: HeldSlot, change: number): void {
        if (slot.short) {
            this.shortSlots.add(change);
        }
        let kind = this.kinds.get(slot.kind);
        if (!kind) {
            kind = { slots: new SmoothedCount(this.clock, usageSmoothingMs), urgent: slot.urgent };
            this.kinds.set(slot.kind, kind);
        }
        kind.urgent = slot.urgent;
        kind.slots.add(change);
    }

    /**
     * Slots held by work that takes precedence over `request` even when it arrives later, because it is more urgent
     * or much shorter. Uses the larger of the current and the average count, so that rising demand counts at once.
     */
    getOvertakingSlots(request: WaitingRequest): number {
        let slots = 0;
        for (const [name, kind] of this.kinds) {
            const outranks = kind.urgent && !request.urgent;
            const isShorter = kind.urgent === request.urgent
                && this.runTimes.getExpected(name) * shorterFactor < request.expectedRun;
            slots += outranks || isShorter ? Math.max(kind.slots.average, kind.slots.current) : 0;
        }
        return slots;
    }
}

/** A kind takes precedence over longer work of the same urgency when it is more than this many times shorter. */
const shorterFactor = 2;
