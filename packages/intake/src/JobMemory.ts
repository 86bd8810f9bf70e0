/**
 * Memory of accepted jobs, which wait for their answers at an entry or for workers at an owner: a part of the memory for
 * clients, whatever their bodies weighed. Large jobs get only a part of it, so that a crowd of them leaves room for
 * ordinary ones.
 */

import type { MemoryAccount, MemoryBudget } from "./MemoryBudget";

export interface JobMemoryLimits {
    /** Memory of all jobs together, in bytes. */
    readonly totalBytes: number;
    /** Part of it for large jobs. */
    readonly largeBytes: number;
}

/** Jobs within the platform's limits on payloads, of up to some hundred tasks, are smaller. */
export const largeJobBytes = 65_536;
const jobShare = 0.5;
/** A job of 10,000 tasks at its entry and at its owner; an entry sends as much at a time to an owner. */
const memoryOfLargeJobs = 8 * 1_048_576;
const leastJobMemory = 12 * 1_048_576;

/** `memoryBytes`: memory that all clients together can occupy. */
export const getJobMemoryLimits = (memoryBytes: number): JobMemoryLimits => ({
    totalBytes: Math.max(leastJobMemory, Math.floor(memoryBytes * jobShare)),
    largeBytes: memoryOfLargeJobs,
});

export class JobMemory {
    private readonly all: MemoryAccount;
    private largeHeld = 0;

    constructor(budget: MemoryBudget, private readonly limits: JobMemoryLimits) {
        this.all = budget.openAccount("jobs", limits.totalBytes);
    }

    get heldBytes(): number {
        return this.all.heldBytes;
    }

    /** Holds memory for a job until the returned function is called; undefined when there is not enough. */
    hold(bytes: number): (() => void) | undefined {
        const isLarge = bytes > largeJobBytes;
        if (isLarge && this.largeHeld + bytes > this.limits.largeBytes || this.all.charge(bytes) !== undefined) {
            return undefined;
        }
        this.largeHeld += isLarge ? bytes : 0;
        let isHeld = true;
        return () => {
            if (isHeld) {
                isHeld = false;
                this.largeHeld -= isLarge ? bytes : 0;
                this.all.release(bytes);
            }
        };
    }
}
