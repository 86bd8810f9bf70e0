/** The timer service: components subscribe to a delay or a period and cancel with the returned function. */

import type { Milliseconds } from "./types";

/** Cancels a subscription; further calls have no effect. */
export type Unsubscribe = () => void;

export interface Timers {
    /** Calls `listener` once after `delay`. */
    after(delay: Milliseconds, listener: () => void): Unsubscribe;
    /** Calls `listener` every `period`, first after one period. */
    every(period: Milliseconds, listener: () => void): Unsubscribe;
}

export const newSystemTimers = (): Timers => ({
    after: (delay, listener) => {
        const handle = setTimeout(listener, delay);
        return () => clearTimeout(handle);
    },
    every: (period, listener) => {
        const handle = setInterval(listener, period);
        return () => clearInterval(handle);
    },
});

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
