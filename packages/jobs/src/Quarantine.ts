/** Takes a worker that fails everything out of use for a while; after the pause one success brings it back. */

import type { Clock, Milliseconds } from "@anvilmux/common";
import { failuresToQuarantine, firstQuarantineMs, longestQuarantineMs } from "./constants";

export class Quarantine {
    private failuresInARow = 0;
    private quarantines = 0;
    private until: Milliseconds = 0;

    constructor(private readonly clock: Clock) {}

    get isOn(): boolean {
        return this.clock.now() < this.until;
    }

    /** Notes how a task ended; returns the pause that begins, or 0. */
    note(succeeded: boolean): Milliseconds {
        if (succeeded) {
            this.failuresInARow = 0;
            this.quarantines = 0;
            return 0;
        }
        this.failuresInARow += 1;
        if (this.failuresInARow < failuresToQuarantine) {
            return 0;
        }
        const pause = Math.min(longestQuarantineMs, firstQuarantineMs * 2 ** this.quarantines);
        this.quarantines += 1;
        this.until = this.clock.now() + pause;
        // The first task after the pause decides alone.
        this.failuresInARow = failuresToQuarantine - 1;
        return pause;
    }
}
