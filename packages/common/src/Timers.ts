/** The timer service: components subscribe to a delay or a period and cancel with the returned function. */

import type { Milliseconds } from "./types";

/** Cancels a subscription; further calls have no effect. */
export type Unsubscribe = () => void;

export interface Timers {
    /** Calls `listener` once after `delay`. */
    after(delay: Milliseconds, listener: () => void): Unsubscribe;
    /** Calls `listener` every `period`, first within one period. */
    every(period: Milliseconds, listener: () => void): Unsubscribe;
}

interface Interval {
    readonly handle: NodeJS.Timeout;
    readonly listeners: Set<Listener>;
}

/** Distinguishes subscriptions of the same function. */
interface Listener {
    readonly call: () => void;
}

/** All subscriptions with one period share one interval, so that an idle process wakes up once for them. */
export const newSystemTimers = (): Timers => {
    const intervals = new Map<Milliseconds, Interval>();
    const unsubscribe = (period: Milliseconds, listener: Listener): void => {
        const interval = intervals.get(period);
        interval?.listeners.delete(listener);
        if (interval?.listeners.size === 0) {
            clearInterval(interval.handle);
            intervals.delete(period);
        }
    };
    return {
        after: (delay, listener) => {
            const handle = setTimeout(listener, delay);
            return () => clearTimeout(handle);
        },
        every: (period, call) => {
            const interval = intervals.get(period) ?? newInterval(period);
            const listener: Listener = { call };
            intervals.set(period, interval);
            interval.listeners.add(listener);
            return () => unsubscribe(period, listener);
        },
    };
};

const newInterval = (period: Milliseconds): Interval => {
    const listeners = new Set<Listener>();
    return { handle: setInterval(() => listeners.forEach(callSafely), period), listeners };
};

/** Reports an error as if the listener had a timer of its own; the other listeners are called. */
const callSafely = ({ call }: Listener): void => {
    try {
        call();
    }
    catch (error) {
        queueMicrotask(() => {
            throw error;
        });
    }
};

/** Resolves after `delay`, or as soon as `signal` aborts. */
export const sleep = (timers: Timers, delay: Milliseconds, signal?: AbortSignal): Promise<void> =>
    new Promise(resolve => {
        if (signal?.aborted) {
            resolve();
            return;
        }
        const finish = () => {
            unsubscribe();
            signal?.removeEventListener("abort", finish);
            resolve();
        };
        const unsubscribe = timers.after(delay, finish);
        signal?.addEventListener("abort", finish);
    });
