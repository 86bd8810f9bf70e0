/** Reading time. Deadlines and leases use the monotonic clock only; wall time is for people and retention. */

import type { Milliseconds, WallMilliseconds } from "./types";

export interface Clock {
    /** Milliseconds on a clock that never jumps; its origin is arbitrary. */
    now(): Milliseconds;
    /** Milliseconds since the Unix epoch. */
    wallNow(): WallMilliseconds;
}

export const newSystemClock = (): Clock => ({
    now: () => performance.now(),
    wallNow: () => Date.now(),
});
