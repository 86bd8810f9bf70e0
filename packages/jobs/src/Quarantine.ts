/**
 * Takes a worker that fails every task out of use for a pause. A further failure begins another pause of
 * twice the length, up to a maximum; a success resets the count and the length.
 */

import type { Clock, Milliseconds } from "@anvilmux/common";
import { failuresToQuarantine, firstQuarantineMs, longestQuarantineMs } from "./constants";

export class Quarantine {
    private consecutiveFailures = 0;
    private quarantineCount = 0;
    private activeUntil: Milliseconds = 0;

    constructor(private readonly clock: Clock) {}

    get isActive(): boolean {
        return this.clock.now() < this.activeUntil;
    }

    /** Records the outcome of a task; returns the length of the pause that begins, or 0. */
    recordOutcome(succeeded: boolean): Milliseconds {
        if (succeeded) {
            this.consecutiveFailures = 0;
            this.quarantineCount = 0;
            return 0;
        }
        this.consecutiveFailures += 1;
        if (this.consecutiveFailures < failuresToQuarantine) {
            return 0;
        }
        const pause = Math.min(longestQuarantineMs, firstQuarantineMs * 2 ** this.quarantineCount);
        this.quarantineCount += 1;
        this.activeUntil = this.clock.now() + pause;
        // One more failure after the pause is enough to begin another.
        this.consecutiveFailures = failuresToQuarantine - 1;
        return pause;
    }
}
