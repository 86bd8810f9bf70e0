/** The timers of a process that may stall: what is due meanwhile fires when the process runs again. */

import type { Milliseconds, Timers, Unsubscribe, VirtualTime } from "@anvilmux/common";

export class StallingTimers implements Timers {
    stalledUntil: Milliseconds = 0;

    constructor(private readonly time: VirtualTime) {}

    after(delay: Milliseconds, listener: () => void): Unsubscribe {
        let cancel: Unsubscribe = () => undefined;
        const fire = () => {
            const remaining = this.stalledUntil - this.time.now();
            if (remaining > 0) {
                cancel = this.time.after(remaining, fire);
            }
            else {
                listener();
            }
        };
        cancel = this.time.after(delay, fire);
        return () => cancel();
    }

    every(period: Milliseconds, listener: () => void): Unsubscribe {
        let cancel: Unsubscribe = () => undefined;
        const schedule = () => {
            cancel = this.after(period, () => {
                schedule();
                listener();
            });
        };
        schedule();
        return () => cancel();
    }
}
