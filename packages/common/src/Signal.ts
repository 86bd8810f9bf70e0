/** An auto-reset event on which one task waits, with a timeout. */

import { newDeferred } from "./Deferred";
import type { Deferred } from "./Deferred";
import type { Timers } from "./Timers";
import type { Milliseconds } from "./types";

export class Signal {
    private raised = false;
    private waiter: Deferred<void> | undefined;

    /** Wakes the waiting task, or lets its next wait return at once. */
    raise(): void {
        this.raised = true;
        this.waiter?.resolve();
    }

    /** Resolves when raised or after `timeout`; several raises in between count as one. */
    async wait(timers: Timers, timeout: Milliseconds): Promise<void> {
        if (!this.raised) {
            const waiter = newDeferred<void>();
            this.waiter = waiter;
            const unsubscribe = timers.after(timeout, waiter.resolve);
            await waiter.promise;
            unsubscribe();
            this.waiter = undefined;
        }
        this.raised = false;
    }
}
