/** A clock and timer service whose time moves only when told to, for tests and model checks. */

import TinyQueue from "tinyqueue";
import type { Clock } from "./Clock";
import type { Timers, Unsubscribe } from "./Timers";
import type { Milliseconds } from "./types";

interface Alarm {
    readonly due: Milliseconds;
    readonly order: number;
    readonly listener: () => void;
    cancelled: boolean;
}

/** Wall time at virtual time zero: 2026-01-01T00:00:00Z. */
const wallOrigin = 1_767_225_600_000;

export class VirtualTime implements Clock, Timers {
    private current: Milliseconds = 0;
    private order = 0;
    private readonly alarms = new TinyQueue<Alarm>(
        [],
        (left, right) => left.due - right.due || left.order - right.order,
    );

    now(): Milliseconds {
        return this.current;
    }

    wallNow(): number {
        return wallOrigin + this.current;
    }

    after(delay: Milliseconds, listener: () => void): Unsubscribe {
        const alarm: Alarm = {
            due: this.current + Math.max(0, delay),
            order: this.order++,
            listener,
            cancelled: false,
        };
        this.alarms.push(alarm);
        return () => {
            alarm.cancelled = true;
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

    /** Moves time forward by `duration`, running each due listener and the promises it settles. */
    async advance(duration: Milliseconds): Promise<void> {
        const end = this.current + duration;
        await settle();
        while (this.fireNext(end)) {
            await settle();
        }
        this.current = end;
    }

    /** Fires the next alarm due at or before `limit`; false when there is none. */
    private fireNext(limit: Milliseconds): boolean {
        for (let alarm = this.alarms.peek(); alarm && alarm.due <= limit; alarm = this.alarms.peek()) {
            this.alarms.pop();
            if (alarm.cancelled) {
                continue;
            }
            this.current = alarm.due;
            alarm.listener();
            return true;
        }
        return false;
    }
}

/** Lets every promise that can settle without I/O or timers do so. */
export const settle = (): Promise<void> => new Promise(resolve => setImmediate(resolve));
