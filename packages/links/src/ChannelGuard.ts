/** What one accepted connection may occupy, and whether it has said who it is. */

import type { Milliseconds } from "@anvilmux/common";
import type { RefusalCause } from "@anvilmux/intake";

export interface ChannelGuard {
    /** False until the peer has said who it is. */
    readonly isIdentified: () => boolean;
    /** Time within which a line must be complete. */
    readonly lineTimeoutMs: Milliseconds;
    /** True when the memory for clients suffices for `bytes` more, which are then charged. */
    readonly charge: (bytes: number) => boolean;
    readonly release: (bytes: number) => void;
    /** Called before the channel closes because the peer occupies too much, or does not say who it is. */
    readonly onRefuse: (cause: RefusalCause) => void;
}

/** For connections that this process opened, to addresses that instances announced. */
export const noGuard: ChannelGuard = {
    isIdentified: () => true,
    lineTimeoutMs: Infinity,
    charge: () => true,
    release: () => undefined,
    onRefuse: () => undefined,
};
