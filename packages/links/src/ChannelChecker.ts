/**
 * Checks all channels of a process periodically: sends heartbeats and closes unresponsive channels. When a check
 * runs late, this process itself stalled; the heartbeat timeouts of all channels then restart.
 */

import { PauseDetector } from "@anvilmux/common";
import type { Clock, Milliseconds, Timers, Unsubscribe } from "@anvilmux/common";
import { checkPeriodMs, stallThresholdMs } from "./constants";

interface CheckedChannel {
    readonly isOpen: boolean;
    readonly check: () => void;
    readonly resetHeartbeatTimeout: () => void;
}

export class ChannelChecker {
    private readonly channels = new Set<CheckedChannel>();
    private readonly pauses: PauseDetector;
    private readonly unsubscribe: Unsubscribe;

    constructor(
        clock: Clock,
        timers: Timers,
        private readonly onStall: (stall: Milliseconds) => void,
    ) {
        this.pauses = new PauseDetector(clock, checkPeriodMs + stallThresholdMs);
        this.unsubscribe = timers.every(checkPeriodMs, () => this.checkChannels());
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
