/**
 * Whether the entry's own zone is drained, and when it was restored, so that an owner that begins soon after a restore
 * continues the gradual return of the workers.
 */

import type { Clock, Milliseconds } from "@anvilmux/common";
import { restoreReturnMs } from "@anvilmux/dispatch";
import type { TaskScheduler } from "@anvilmux/dispatch";

export class OwnZoneDrain {
    private isDrained = false;
    private restoredAt: Milliseconds = -Infinity;

    constructor(private readonly clock: Clock) {}

    /** False when nothing changes. */
    set(isDrained: boolean): boolean {
        if (isDrained === this.isDrained) {
            return false;
        }
        this.isDrained = isDrained;
        this.restoredAt = isDrained ? -Infinity : this.clock.now();
        return true;
    }

    /** Informs a scheduler that has just begun and has its workers. */
    applyTo(scheduler: TaskScheduler): void {
        const elapsedMs = this.clock.now() - this.restoredAt;
        if (this.isDrained || elapsedMs < restoreReturnMs) {
            scheduler.setDrained(this.isDrained, this.isDrained ? undefined : elapsedMs);
        }
    }
}
