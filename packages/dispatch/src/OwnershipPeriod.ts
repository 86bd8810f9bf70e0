/**
 * The time since when only this owner can have started runs on its workers. Runs from before are known only from the
 * workers' lists.
 */

import { PauseDetector } from "@anvilmux/common";
import type { Clock, Milliseconds } from "@anvilmux/common";
import { ownershipDoubtMs } from "./constants";

export class OwnershipPeriod {
    private begunAt: Milliseconds;
    private readonly pauses: PauseDetector;

    /** `onInterrupted` is called when this process did not run for so long that another owner may have taken its place. */
    constructor(private readonly clock: Clock, private readonly onInterrupted: (pausedMs: Milliseconds) => void) {
        this.begunAt = clock.now();
        this.pauses = new PauseDetector(clock, ownershipDoubtMs);
    }

    /** Begins anew, as another owner may have started runs until now. */
    begin(): void {
        this.begunAt = this.clock.now();
    }

    /** Its beginning; to be called at short intervals, as a longer one shows that the process did not run. */
    confirm(): Milliseconds {
        const pausedMs = this.pauses.check();
        if (pausedMs !== undefined) {
            this.onInterrupted(pausedMs);
        }
        return this.begunAt;
    }
}
