/** Looks after all channels of a process: beats, silence, and the difference between a silent peer and a stall here. */

import type { Clock, Milliseconds, Timers, Unsubscribe } from "@anvilmux/common";
import { checkPeriodMs, ownStallMs } from "./constants";

interface CheckedChannel {
    readonly isOpen: boolean;
    readonly check: () => void;
    readonly excuseSilence: () => void;
}

export class ChannelChecker {
    private readonly channels = new Set<CheckedChannel>();
    private lastLook: Milliseconds;
    private readonly unsubscribe: Unsubscribe;

    constructor(
        private readonly clock: Clock,
        timers: Timers,
        private readonly onStall: (length: Milliseconds) => void,
    ) {
        this.lastLook = clock.now();
        this.unsubscribe = timers.every(checkPeriodMs, () => this.look());
    }

    add(channel: CheckedChannel): void {
        this.channels.add(channel);
    }

    stop(): void {
        this.unsubscribe();
    }

    private look(): void {
        const now = this.clock.now();
        const stall = now - this.lastLook - checkPeriodMs;
        this.lastLook = now;
        if (stall > ownStallMs) {
            this.channels.forEach(channel => channel.excuseSilence());
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
