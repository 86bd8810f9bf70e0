/** Pauses in which a worker gets no tasks although it is reachable. */

import type { Clock, Milliseconds } from "@anvilmux/common";
import { unansweredPauseMs, unansweredToPause } from "./constants";

export class WorkerPause {
    private until: Milliseconds = 0;
    private unansweredInARow = 0;

    constructor(private readonly clock: Clock) {}

    get isActive(): boolean {
        return this.clock.now() < this.until;
    }

    begin(length: Milliseconds): void {
        this.until = Math.max(this.until, this.clock.now() + length);
    }

    recordAnswered(): void {
        this.unansweredInARow = 0;
    }

    /** Begins a pause after several consecutive unanswered starts. */
    recordUnanswered(): void {
        this.unansweredInARow += 1;
        if (this.unansweredInARow >= unansweredToPause) {
            this.begin(unansweredPauseMs);
        }
    }
}
