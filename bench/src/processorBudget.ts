/** Limits this process to a share of a core: it blocks its event loop whenever it has used more than its share. */

import type { Milliseconds, Timers, Unsubscribe } from "@anvilmux/common";

/** Period of the checks; the process may use the whole core between two of them. */
const checkPeriodMs = 4;
/** Unused processor time that may be kept for later. */
const maximumCreditMs = 8;

/** The processor time that a process may still use; negative when it used more than its share. */
export class ProcessorCredit {
    private credit: Milliseconds = 0;

    constructor(private readonly share: number) {}

    /** Records what was used in an interval; returns how long the process must not run. */
    record(elapsedMs: Milliseconds, usedMs: Milliseconds): Milliseconds {
        this.credit = Math.min(maximumCreditMs, this.credit + elapsedMs * this.share - usedMs);
        return Math.max(0, -this.credit / this.share);
    }
}

/** Limits the processor time of this process, all of its threads included, to `share` of a core. */
export const limitProcessor = (share: number, timers: Timers): Unsubscribe => {
    const credit = new ProcessorCredit(share);
    const neverNotified = new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT));
    let checkedAt = performance.now();
    let usedBefore = getUsedMs();
    let isCancelled = false;
    const check = () => {
        if (isCancelled) {
            return;
        }
        const now = performance.now();
        const used = getUsedMs();
        const blockMs = credit.record(now - checkedAt, used - usedBefore);
        checkedAt = now;
        usedBefore = used;
        if (blockMs > 0) {
            Atomics.wait(neverNotified, 0, 0, blockMs);
        }
        scheduleCheck();
    };
    // In the phase after that of the sockets, so that timers which became due meanwhile do not keep sockets waiting.
    const scheduleCheck = () => timers.after(checkPeriodMs, () => setImmediate(check));
    scheduleCheck();
    return () => {
        isCancelled = true;
    };
};

const getUsedMs = (): Milliseconds => {
    const { user, system } = process.cpuUsage();
    return (user + system) / 1_000;
};
