/**
 * Checks all channels of a process periodically: sends heartbeats and closes unresponsive channels. When a check
 * runs late, this process itself stalled; the heartbeat timeouts of all channels then restart.
 */

import { PauseDetector } from "@anvilmux/common";
import type { Clock, Milliseconds, Timers, Unsubscribe } from "@anvilmux/common";
import { catchUpMs, checkPeriodMs, stallThresholdMs } from "./constants";

interface CheckedChannel {
    readonly isOpen: boolean;
    readonly check: () => void;
    readonly resetHeartbeatTimeout: () => void;
}

export class ChannelChecker {
    private readonly channels = new Set<CheckedChannel>();
    private readonly pauses: PauseDetector;
    private readonly unsubscribe: Unsubscribe;
    /** When the process ran again after its last stall. */
    private resumedAt: Milliseconds | undefined;

    constructor(
        private readonly clock: Clock,
        timers: Timers,
        private readonly onStall: (stall: Milliseconds) => void,
    ) {
        this.pauses = new PauseDetector(clock, checkPeriodMs + stallThresholdMs);
        this.unsubscribe = timers.every(checkPeriodMs, () => this.checkChannels());
    }

    /** True when what is read now may have arrived during a stall of this process. */
    get mayInputBeOld(): boolean {
        const { pauses, resumedAt, clock } = this;
        return pauses.isPaused || (resumedAt !== undefined && clock.now() - resumedAt < catchUpMs);
    }

    add(channel: CheckedChannel): void {
        this.channels.add(channel);
    }

    stop(): void {
        this.unsubscribe();
    }

    private checkChannels(): void {
        const pausedMs = this.pauses.check();
        if (pausedMs !== undefined) {
            this.resumedAt = this.clock.now();
            this.channels.forEach(channel => channel.resetHeartbeatTimeout());
            this.onStall(pausedMs - checkPeriodMs);
        }
        for (const channel of this.channels) {
            if (channel.isOpen) {
                channel.check();
            }
            else {
                this.channels.delete(channel);
            }
        }
    }
}
