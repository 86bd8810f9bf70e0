/** Time sources. Deadlines and leases use the monotonic clock only; wall time is for display and retention. */

import type { Milliseconds, WallMilliseconds } from "./types";

export interface Clock {
    /** Milliseconds on a monotonic clock with an arbitrary origin. */
    now(): Milliseconds;
    /** Milliseconds since the Unix epoch. */
    wallNow(): WallMilliseconds;
}

export const newSystemClock = (): Clock => ({
    now: () => performance.now(),
    wallNow: () => Date.now(),
});
