/**
 * Checks that no worker of a drained zone starts a task later than 5 s after the drain was acknowledged, until a
 * restore is sent. Zones whose entries were stopped or cut off a moment before are left out: their owner may not have
 * heard of the drain.
 */

import type { Milliseconds } from "@anvilmux/common";
import type { Program } from "./types";

/** Time after its acknowledgement at which a drain is in force. */
export const drainLagMs: Milliseconds = 5_000;
/** Time after the end of a fault within which an entry may not have heard of a drain. */
export const disturbanceMs: Milliseconds = 4_000;
/** Of three control instances, one may be out of reach or behind without an entry being cut off from control. */
const controlsToCutOff = 2;

export class DrainChecker {
    private readonly drainedSince = new Map<string, Milliseconds>();
    /** Number of faults that each program meets now, and when the last one ended. */
    private readonly faults = new Map<string, { count: number; lastEndedAt: Milliseconds; }>();

    constructor(private readonly programs: readonly Program[], private readonly now: () => Milliseconds) {}

    handleDrained(zone: string): void {
        this.drainedSince.set(zone, this.now());
    }

    handleRestoreSent(zone: string): void {
        this.drainedSince.delete(zone);
    }

    /** A fault stops these programs, or cuts them off from others. */
    beginFault(names: readonly string[]): void {
        for (const name of names) {
            const { count = 0, lastEndedAt = -Infinity } = this.faults.get(name) ?? {};
            this.faults.set(name, { count: count + 1, lastEndedAt });
        }
    }

    endFault(names: readonly string[]): void {
        for (const name of names) {
            const { count = 1 } = this.faults.get(name) ?? {};
            this.faults.set(name, { count: count - 1, lastEndedAt: this.now() });
        }
    }

    /** Time since the drain was acknowledged, for a start that breaks the promise; undefined for any other. */
    findLateStart(zone: string): Milliseconds | undefined {
        const since = this.drainedSince.get(zone);
        const elapsed = since === undefined ? 0 : this.now() - since;
        return elapsed > drainLagMs && !this.isDisturbed(zone) ? elapsed : undefined;
    }

    private isDisturbed(zone: string): boolean {
        const disturbed = this.programs.filter(({ name }) => this.isProgramDisturbed(name));
        return disturbed.some(program => program.role === "entry" && program.zone === zone)
            || disturbed.filter(({ role }) => role === "control").length >= controlsToCutOff;
    }

    private isProgramDisturbed(name: string): boolean {
        const faults = this.faults.get(name);
        return faults !== undefined && (faults.count > 0 || this.now() - faults.lastEndedAt < disturbanceMs);
    }
}
