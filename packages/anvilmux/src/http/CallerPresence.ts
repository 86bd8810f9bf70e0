/**
 * Whether the callers of requests still wait when their requests are read. After a time in which no caller was heard, the network
 * may have held back what comes next, and the ends of connections may arrive a moment after the requests that their
 * callers gave up. Requests wait for that moment then, and longer once the end of such a connection has come.
 */

import type { Clock, Milliseconds, Timers } from "@anvilmux/common";
import { doubtfulSilenceMs } from "@anvilmux/links";
import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import { isCallerPresent } from "./isCallerPresent";

/** Time for which requests wait after a silence; about a round trip between callers and entries. */
export const endsArrivalMs: Milliseconds = 25;
/** The same time after the end of a connection has come in place of the caller: the network does hold requests back. */
export const heldEndsArrivalMs: Milliseconds = 250;

export class CallerPresence {
    private requestedAt: Milliseconds;
    /** Until when requests wait. */
    private doubtUntil: Milliseconds = 0;
    /** Ends the wait of each request that waits. */
    private readonly waiting = new Set<() => void>();
    private isTimerSet = false;

    constructor(private readonly clock: Clock, private readonly timers: Timers) {
        this.requestedAt = clock.now();
    }

    /** False when the caller has closed its connection. To be awaited before a request has any effect. */
    async check(request: IncomingMessage): Promise<boolean> {
        const now = this.clock.now();
        if (now - this.requestedAt > doubtfulSilenceMs) {
            this.doubtUntil = now + endsArrivalMs;
        }
        this.requestedAt = now;
        const isPresent = await isCallerPresent(request);
        if (this.clock.now() >= this.doubtUntil) {
            return isPresent;
        }
        if (!isPresent) {
            this.extendDoubt();
            return false;
        }
        await this.awaitEnd(request.socket);
        return !request.socket.readableEnded && !request.socket.destroyed;
    }

    /** Resolves when the connection ends, or once there is no doubt any more. */
    private awaitEnd(socket: Socket): Promise<void> {
        return new Promise(resolve => {
            const handleEnd = () => {
                this.extendDoubt();
                finish();
            };
            const finish = () => {
                socket.off("end", handleEnd);
                socket.off("close", handleEnd);
                this.waiting.delete(finish);
                resolve();
            };
            socket.once("end", handleEnd);
            socket.once("close", handleEnd);
            this.waiting.add(finish);
            if (!this.isTimerSet) {
                this.setTimer();
            }
        });
    }

    private extendDoubt(): void {
        this.doubtUntil = this.clock.now() + heldEndsArrivalMs;
    }

    private setTimer(): void {
        this.isTimerSet = true;
        this.timers.after(this.doubtUntil - this.clock.now(), () => {
            this.isTimerSet = false;
            if (this.clock.now() < this.doubtUntil) {
                this.setTimer();
                return;
            }
            [...this.waiting].forEach(finish => finish());
        });
    }
}
