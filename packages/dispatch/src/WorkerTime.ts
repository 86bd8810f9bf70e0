/** The owner's estimate of a worker's monotonic clock, and of how long granted leases allow the worker to run tasks. */

import type { Clock, Milliseconds } from "@anvilmux/common";
import { leaseMarginMs, workerClockDrift } from "./constants";

/** A sample is replaced by any other after this time, or by one that is lower by more than an answer can be late. */
const sampleValidityMs = 1_000;
const longestAnswerDelayMs = 1_000;

interface ClockSample {
    readonly offset: Milliseconds;
    readonly at: Milliseconds;
    /** Incarnation of the worker that reported it, as far as the owner knew. */
    readonly incarnation: number;
}

export class WorkerTime {
    /** The sample whose answer was read with the least delay lately; delays only lower a sample. */
    private best: ClockSample | undefined;
    private possibleUntil: Milliseconds = 0;
    private latestAheadMs: Milliseconds | undefined;

    constructor(private readonly clock: Clock) {}

    /** False until the worker reported its clock. */
    get isKnown(): boolean {
        return this.best !== undefined;
    }

    /** Estimate of the worker's clock now. */
    now(): Milliseconds {
        const now = this.clock.now();
        return now + (this.best ? getLowestOffset(this.best, now) : 0);
    }

    /** Time on the owner's clock until which runs may continue while the worker is unresponsive. */
    get runsPossibleUntil(): Milliseconds {
        return this.possibleUntil;
    }

    /** Age of the sample behind the estimate; undefined while there is none. */
    get sampleAgeMs(): Milliseconds | undefined {
        return this.best && this.clock.now() - this.best.at;
    }

    /** Incarnation that reported the sample behind the estimate; undefined while there is none. */
    get sampleIncarnation(): number | undefined {
        return this.best?.incarnation;
    }

    /** How far the estimate was ahead of the clock reported last; the delay of that answer is part of it. */
    get aheadMs(): Milliseconds | undefined {
        return this.latestAheadMs;
    }

    /** `incarnation`: the one that reported its clock; each has a clock of its own, so later ones replace any sample. */
    recordClock(workerClock: Milliseconds, incarnation: number): void {
        const at = this.clock.now();
        const offset = workerClock - at;
        if (this.best && incarnation < this.best.incarnation) {
            return;
        }
        this.latestAheadMs = this.best && this.now() - workerClock;
        if (!this.best || incarnation > this.best.incarnation || isBetter(offset, this.best, at)) {
            this.best = { offset, at, incarnation };
        }
    }

    /** Records a lease or start deadline of `length` sent at `sentAt`, with a margin for a slow worker clock. */
    recordGrant(sentAt: Milliseconds, length: Milliseconds): void {
        const until = sentAt + length * (1 + workerClockDrift) + leaseMarginMs;
        this.possibleUntil = Math.max(this.possibleUntil, until);
    }
}

/** The lowest difference that a worker's clock can have by now, since it may run slow. */
const getLowestOffset = ({ offset, at }: ClockSample, now: Milliseconds): Milliseconds =>
    offset - (now - at) * workerClockDrift;

const isBetter = (offset: Milliseconds, best: ClockSample, now: Milliseconds): boolean =>
    now - best.at > sampleValidityMs
    || offset >= getLowestOffset(best, now)
    || offset < best.offset - longestAnswerDelayMs;
