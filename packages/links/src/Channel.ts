/**
 * One persistent TCP connection that carries newline-delimited JSON in both directions. Each end sends an empty line as
 * a heartbeat when it has sent nothing else for a while, so that a failed connection is detected without a TCP reset.
 */

import { getErrorMessage } from "@anvilmux/common";
import type { Clock, Milliseconds } from "@anvilmux/common";
import type { Socket } from "node:net";
import { StringDecoder } from "node:string_decoder";
import { heartbeatPeriodMs, heartbeatTimeoutMs, maximumLineCharacters, maximumUnsentBytes } from "./constants";
import { encodeMessage } from "./encodeMessage";
import type { EncodedMessage } from "./encodeMessage";
import type { LinkMessage } from "./types";

export interface ChannelListener<Incoming extends LinkMessage> {
    readonly onMessage: (message: Incoming) => void;
    /** Called once, when the channel closes for any reason. */
    readonly onClose: (reason: string) => void;
}

export class Channel<Incoming extends LinkMessage, Outgoing extends LinkMessage> {
    private readonly decoder = new StringDecoder("utf8");
    private partial = "";
    private unsent: string[] = [];
    private receivedAt: Milliseconds;
    private sentAt: Milliseconds;
    private closed = false;

    constructor(
        private readonly socket: Socket,
        private readonly clock: Clock,
        private readonly listener: ChannelListener<Incoming>,
    ) {
        this.receivedAt = clock.now();
        this.sentAt = this.receivedAt;
        socket.setNoDelay(true);
        socket.on("data", bytes => this.receive(bytes));
        socket.on("error", error => this.close(getErrorMessage(error)));
        socket.on("close", () => this.close("closed by the peer"));
    }

    get isOpen(): boolean {
        return !this.closed;
    }

    /** When anything was last received from the peer. */
    get lastReceivedAt(): Milliseconds {
        return this.receivedAt;
    }

    /** Sends a message; messages of one event loop turn are batched into one write. */
    send(message: Outgoing): void {
        this.write(encodeMessage(message));
    }

    sendEncoded(message: EncodedMessage<Outgoing>): void {
        this.write(message);
    }

    /** Sends a heartbeat when due; closes the channel when nothing was received within the heartbeat timeout. */
    check(): void {
        const now = this.clock.now();
        if (now - this.receivedAt > heartbeatTimeoutMs) {
            this.close(`received nothing for ${Math.round(now - this.receivedAt)} ms`);
            return;
        }
        if (now - this.sentAt >= heartbeatPeriodMs) {
            this.write("\n");
        }
    }

    /** Restarts the heartbeat timeout of the peer; used after this process itself stalled. */
    resetHeartbeatTimeout(): void {
        this.receivedAt = this.clock.now();
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
        this.receivedAt = this.clock.now();
        const lines = (this.partial + this.decoder.write(bytes)).split("\n");
        this.partial = lines.pop() ?? "";
        if (this.partial.length > maximumLineCharacters) {
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
