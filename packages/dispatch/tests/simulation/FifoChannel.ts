/** One direction of a connection on virtual time: messages arrive in order and late, or never once it is closed. */

import type { Milliseconds, VirtualTime } from "@anvilmux/common";

export interface FifoChannelOptions {
    readonly time: VirtualTime;
    readonly drawLatency: () => Milliseconds;
    /** Until then the receiver is stalled; messages wait for it. */
    readonly getStallEnd: () => Milliseconds;
}

export class FifoChannel {
    private readonly deliveries: (() => void)[] = [];
    private lastDueAt: Milliseconds = 0;
    private closed = false;

    constructor(private readonly options: FifoChannelOptions) {}

    /** Sends a message, which `deliver` hands to the receiver; false once the channel is closed. */
    send(deliver: () => void): boolean {
        if (this.closed) {
            return false;
        }
        const { time, drawLatency } = this.options;
        this.deliveries.push(deliver);
        this.lastDueAt = Math.max(this.lastDueAt, time.now() + drawLatency());
        time.after(this.lastDueAt - time.now(), () => this.deliverNext());
        return true;
    }

    /** Loses the messages on their way. */
    close(): void {
        this.closed = true;
        this.deliveries.length = 0;
    }

    private deliverNext(): void {
        const { time, getStallEnd } = this.options;
        if (this.closed) {
            return;
        }
        if (getStallEnd() > time.now()) {
            time.after(getStallEnd() - time.now(), () => this.deliverNext());
            return;
        }
        this.deliveries.shift()?.();
    }
}
