/**
 * Checks all channels of a process periodically: sends heartbeats and closes unresponsive channels. When a check
 * runs late, this process itself stalled; the heartbeat timeouts of all channels then restart.
 */

import type { Clock, Milliseconds, Timers, Unsubscribe } from "@anvilmux/common";
import { checkPeriodMs, stallThresholdMs } from "./constants";

interface CheckedChannel {
    readonly isOpen: boolean;
    readonly check: () => void;
    readonly resetHeartbeatTimeout: () => void;
}

export class ChannelChecker {
    private readonly channels = new Set<CheckedChannel>();
    private lastCheckAt: Milliseconds;
    private readonly unsubscribe: Unsubscribe;

    constructor(
        private readonly clock: Clock,
        timers: Timers,
        private readonly onStall: (stall: Milliseconds) => void,
    ) {
        this.lastCheckAt = clock.now();
        this.unsubscribe = timers.every(checkPeriodMs, () => this.checkChannels());
    }

    add(channel: CheckedChannel): void {
        this.channels.add(channel);
    }

    stop(): void {
        this.unsubscribe();
    }

    private checkChannels(): void {
        const now = this.clock.now();
        const stall = now - this.lastCheckAt - checkPeriodMs;
        this.lastCheckAt = now;
        if (stall > stallThresholdMs) {
            this.channels.forEach(channel => channel.resetHeartbeatTimeout());
            this.onStall(stall);
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
