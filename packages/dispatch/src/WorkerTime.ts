/** A worker's steady clock as its owner estimates it, and until when the worker may run what it was last granted. */

import type { Clock, Milliseconds } from "@anvilmux/common";
import { leaseMarginMs, workerClockDrift } from "./constants";

export class WorkerTime {
    private offset: Milliseconds | undefined;
    private possibleUntil: Milliseconds = 0;

    constructor(private readonly clock: Clock) {}

    /** False until the worker told its clock. */
    get isKnown(): boolean {
        return this.offset !== undefined;
    }

    /** The worker's clock now, as far as known. */
    now(): Milliseconds {
        return this.clock.now() + (this.offset ?? 0);
    }

    /** On our clock: until when anything ordered may still run, should the worker not be heard again. */
    get runsPossibleUntil(): Milliseconds {
        return this.possibleUntil;
    }

    noteClock(workerClock: Milliseconds): void {
        this.offset = workerClock - this.clock.now();
    }

    /** Notes that a lease or a start's deadline of `length` was sent at `sentAt`; the worker's clock may be slow. */
    noteGrant(sentAt: Milliseconds, length: Milliseconds): void {
        const until = sentAt + length * (1 + workerClockDrift) + leaseMarginMs;
        this.possibleUntil = Math.max(this.possibleUntil, until);
    }
}
