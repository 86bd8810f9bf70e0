/** How many slots each kind of work holds on average. */

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
    private readonly short: SmoothedCount;

    constructor(private readonly clock: Clock, private readonly runTimes: RunTimes) {
        this.short = new SmoothedCount(clock, usageSmoothingMs);
    }

    /** Slots that short urgent work holds on average. */
    get averageShort(): number {
        return this.short.average;
    }

    count(slot: HeldSlot, change: number): void {
        if (slot.short) {
            this.short.add(change);
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
     * Slots held by work that goes before `request` even when it comes later: more urgent, or much shorter. The
     * larger of the present number and the average, so that a rise in demand counts at once.
     */
    getOvertaking(request: WaitingRequest): number {
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

/** Work of the same class goes first when it is this many times shorter. */
const shorterFactor = 2;
