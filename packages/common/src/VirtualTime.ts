/** A clock and timer service whose time moves only through `advance`, for tests and model checks. */

import TinyQueue from "tinyqueue";
import type { Clock } from "./Clock";
import type { Timers, Unsubscribe } from "./Timers";
import type { Milliseconds } from "./types";

interface PendingTimer {
    readonly dueAt: Milliseconds;
    readonly sequence: number;
    readonly listener: () => void;
    cancelled: boolean;
}

/** Wall time at virtual time zero: 2026-01-01T00:00:00Z. */
const wallOriginMs = 1_767_225_600_000;

export class VirtualTime implements Clock, Timers {
    private current: Milliseconds = 0;
    private nextSequence = 0;
    private readonly pendingTimers = new TinyQueue<PendingTimer>(
        [],
        (left, right) => left.dueAt - right.dueAt || left.sequence - right.sequence,
    );

    now(): Milliseconds {
        return this.current;
    }

    wallNow(): number {
        return wallOriginMs + this.current;
    }

    after(delay: Milliseconds, listener: () => void): Unsubscribe {
        const timer: PendingTimer = {
            dueAt: this.current + Math.max(0, delay),
            sequence: this.nextSequence++,
            listener,
            cancelled: false,
        };
        this.pendingTimers.push(timer);
        return () => {
            timer.cancelled = true;
        };
    }

    every(period: Milliseconds, listener: () => void): Unsubscribe {
        let unsubscribe: Unsubscribe = () => undefined;
        const schedule = () => {
            unsubscribe = this.after(period, () => {
                schedule();
                listener();
            });
        };
        schedule();
        return () => unsubscribe();
    }

    /** Moves time forward by `duration`, running each due listener and then the continuations of settled promises. */
    async advance(duration: Milliseconds): Promise<void> {
        const end = this.current + duration;
        await settle();
        while (this.fireNextTimer(end)) {
            await settle();
        }
        this.current = end;
    }

    /** Fires the next timer that is due at or before `limit`; false when there is none. */
    private fireNextTimer(limit: Milliseconds): boolean {
        for (let timer = this.pendingTimers.peek(); timer && timer.dueAt <= limit; timer = this.pendingTimers.peek()) {
            this.pendingTimers.pop();
            if (timer.cancelled) {
                continue;
            }
            this.current = timer.dueAt;
            timer.listener();
            return true;
        }
        return false;
    }
}

/** Waits until every promise that can settle without I/O or timers has settled. */
export const settle = (): Promise<void> => new Promise(resolve => setImmediate(resolve));
