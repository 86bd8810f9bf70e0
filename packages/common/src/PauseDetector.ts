/** Notices that this process did not run for a while, from the time between two calls that should follow each other soon. */

import type { Clock } from "./Clock";
import type { Milliseconds } from "./types";

export class PauseDetector {
    private checkedAt: Milliseconds;

    /** Times between two checks up to `longestMs` are taken for normal. */
    constructor(private readonly clock: Clock, private readonly longestMs: Milliseconds) {
        this.checkedAt = clock.now();
    }

    /** The length of the pause that ends with this call; undefined without one. */
    check(): Milliseconds | undefined {
        const now = this.clock.now();
        const passed = now - this.checkedAt;
        this.checkedAt = now;
        return passed > this.longestMs ? passed : undefined;
    }
}
