/** What a listener needs to bound its connections together with all others of the process. */

import { MemoryBudget } from "./MemoryBudget";
import type { RefusalCause } from "./Refusals";

export interface ConnectionGuard {
    /** What all clients of the process occupy. */
    readonly budget: MemoryBudget;
    /** Open connections of the listener. */
    readonly maximumConnections: number;
    /** Counts a connection that was closed, and logs it at a bounded rate. */
    readonly report: (cause: RefusalCause, address: string) => void;
}

/** For listeners that only trusted programs reach, and for tests. */
export const newUnlimitedGuard = (): ConnectionGuard => ({
    budget: new MemoryBudget({ totalBytes: Infinity, addressBytes: Infinity }),
    maximumConnections: Infinity,
    report: () => undefined,
});
