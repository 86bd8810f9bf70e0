/** A pause of a loop that can be ended early. */

import type { Milliseconds, Timers } from "@anvilmux/common";

export class InterruptiblePause {
    private resume: () => void = () => undefined;

    constructor(private readonly timers: Timers) {}

    wait(length: Milliseconds): Promise<void> {
        return new Promise(resolve => {
            const cancel = this.timers.after(length, resolve);
            this.resume = () => {
                cancel();
                resolve();
            };
        });
    }

    /** Ends the present pause, if any. */
    end(): void {
        this.resume();
    }
}
