/** The owner's estimate of a worker's monotonic clock, and of how long granted leases allow the worker to run tasks. */

import type { Clock, Milliseconds } from "@anvilmux/common";
import { leaseMarginMs, workerClockDrift } from "./constants";

export class WorkerTime {
    private offset: Milliseconds | undefined;
    private possibleUntil: Milliseconds = 0;

    constructor(private readonly clock: Clock) {}

    /** False until the worker reported its clock. */
    get isKnown(): boolean {
        return this.offset !== undefined;
    }

    /** Estimate of the worker's clock now. */
    now(): Milliseconds {
        return this.clock.now() + (this.offset ?? 0);
    }

    /** Time on the owner's clock until which runs may continue while the worker is unresponsive. */
    get runsPossibleUntil(): Milliseconds {
        return this.possibleUntil;
    }

    recordClock(workerClock: Milliseconds): void {
        this.offset = workerClock - this.clock.now();
    }

    /** Records a lease or start deadline of `length` sent at `sentAt`, with a margin for a slow worker clock. */
    recordGrant(sentAt: Milliseconds, length: Milliseconds): void {
        const until = sentAt + length * (1 + workerClockDrift) + leaseMarginMs;
        this.possibleUntil = Math.max(this.possibleUntil, until);
    }
}
