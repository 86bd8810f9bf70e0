/**
 * One held TCP connection that carries JSON lines both ways. Each end sends an empty line when it had nothing to say
 * for a while, so that a silent connection is found without a reset.
 */

import { getErrorMessage } from "@anvilmux/common";
import type { Clock, Milliseconds } from "@anvilmux/common";
import type { Socket } from "node:net";
import { StringDecoder } from "node:string_decoder";
import { beatPeriodMs, maximumLineBytes, maximumUnsentBytes, silenceLimitMs } from "./constants";
import type { LinkMessage } from "./types";

export interface ChannelListener<Incoming extends LinkMessage> {
    readonly onMessage: (message: Incoming) => void;
    /** Called once, when the channel has ended for any reason. */
    readonly onClose: (reason: string) => void;
}

export class Channel<Incoming extends LinkMessage, Outgoing extends LinkMessage> {
    private readonly decoder = new StringDecoder("utf8");
    private partial = "";
    private unsent: string[] = [];
    private heard: Milliseconds;
    private sentAt: Milliseconds;
    private closed = false;

    constructor(
        private readonly socket: Socket,
        private readonly clock: Clock,
        private readonly listener: ChannelListener<Incoming>,
    ) {
        this.heard = clock.now();
        this.sentAt = this.heard;
        socket.setNoDelay(true);
        socket.on("data", bytes => this.receive(bytes));
        socket.on("error", error => this.close(getErrorMessage(error)));
        socket.on("close", () => this.close("closed by the peer"));
    }

    get isOpen(): boolean {
        return !this.closed;
    }

    /** When the peer was last heard. */
    get heardAt(): Milliseconds {
        return this.heard;
    }

    /** Sends a message; all messages of one turn of the event loop leave in one write. */
    send(message: Outgoing): void {
        this.write(JSON.stringify(message) + "\n");
    }

    /** Sends a beat when due; closes the channel when the peer was silent for too long. */
    check(): void {
        const now = this.clock.now();
        if (now - this.heard > silenceLimitMs) {
            this.close(`silent for ${Math.round(now - this.heard)} ms`);
            return;
        }
        if (now - this.sentAt >= beatPeriodMs) {
            this.write("\n");
        }
    }

    /** Counts the peer as heard now, after this process itself stood still. */
    excuseSilence(): void {
        this.heard = this.clock.now();
    }

    close(reason: string): void {
        if (this.closed) {
            return;
        }
        this.closed = true;
        this.socket.destroy();
        this.listener.onClose(reason);
    }

    private write(line: string): void {
        if (this.closed) {
            return;
        }
        if (this.unsent.length === 0) {
            setImmediate(() => this.flush());
        }
        this.unsent.push(line);
        this.sentAt = this.clock.now();
    }

    private flush(): void {
        const text = this.unsent.join("");
        this.unsent = [];
        if (this.closed) {
            return;
        }
        if (this.socket.writableLength > maximumUnsentBytes) {
            this.close("the peer reads too slowly");
            return;
        }
        this.socket.write(text);
    }

    private receive(bytes: Buffer): void {
        this.heard = this.clock.now();
        const lines = (this.partial + this.decoder.write(bytes)).split("\n");
        this.partial = lines.pop() ?? "";
        if (this.partial.length > maximumLineBytes) {
            this.close("line too long");
            return;
        }
        for (const line of lines) {
            if (line !== "" && !this.closed) {
                this.deliver(line);
            }
        }
    }

    private deliver(line: string): void {
        let message: Incoming;
        try {
            message = JSON.parse(line) as Incoming;
        }
        catch (error) {
            this.close(`unreadable line: ${getErrorMessage(error)}`);
            return;
        }
        this.listener.onMessage(message);
    }
}
