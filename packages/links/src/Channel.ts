/**
 * One persistent TCP connection that carries newline-delimited JSON in both directions. An end that has received nothing
 * for a while probes its peer, which answers with an empty line, so that a failed connection is detected without a TCP
 * reset. Each end decides by itself how soon: at once while the connection is urgent, that is, while it awaits an
 * answer or a decision depends on the peer, and later otherwise.
 */

import { getErrorMessage, safeParseJson } from "@anvilmux/common";
import type { Clock, Milliseconds } from "@anvilmux/common";
import type { Socket } from "node:net";
import { StringDecoder } from "node:string_decoder";
import {
    heartbeatPeriodMs,
    heartbeatTimeoutMs,
    idleHeartbeatPeriodMs,
    idleHeartbeatTimeoutMs,
    maximumLineCharacters,
    maximumUnsentBytes,
} from "./constants";
import { encodeMessage } from "./encodeMessage";
import type { EncodedMessage } from "./encodeMessage";
import type { LinkMessage } from "./types";

export interface ChannelListener<Incoming extends LinkMessage> {
    readonly onMessage: (message: Incoming) => void;
    /** Called once, when the channel closes for any reason. */
    readonly onClose: (reason: string) => void;
    /** True while a failure of the peer has to be detected soon; always when absent. */
    readonly isUrgent?: () => boolean;
}

/** Asks the peer for `heartbeatLine`. */
const probeLine = "?";
const heartbeatLine = "";
/** Length of the part of an unreadable line that is logged. */
const loggedCharacters = 80;

export class Channel<Incoming extends LinkMessage, Outgoing extends LinkMessage> {
    private readonly decoder = new StringDecoder("utf8");
    private partial = "";
    private unsent: string[] = [];
    private receivedAt: Milliseconds;
    private probedAt: Milliseconds;
    /** When the connection became urgent; undefined while it is not. */
    private urgentSince: Milliseconds | undefined;
    private closed = false;

    constructor(
        private readonly socket: Socket,
        private readonly clock: Clock,
        private readonly listener: ChannelListener<Incoming>,
    ) {
        this.receivedAt = clock.now();
        this.probedAt = this.receivedAt;
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

    /** Probes the peer when due; closes the channel when nothing was received within the heartbeat timeout. */
    check(): void {
        const now = this.clock.now();
        const isUrgent = this.listener.isUrgent?.() ?? true;
        this.urgentSince = isUrgent ? this.urgentSince ?? now : undefined;
        const timeout = isUrgent ? heartbeatTimeoutMs : idleHeartbeatTimeoutMs;
        if (now - Math.max(this.receivedAt, this.urgentSince ?? 0) > timeout) {
            this.close(`received nothing for ${Math.round(now - this.receivedAt)} ms`);
            return;
        }
        const period = isUrgent ? heartbeatPeriodMs : idleHeartbeatPeriodMs;
        if (now - Math.max(this.receivedAt, this.probedAt) >= period) {
            this.probedAt = now;
            this.write(`${probeLine}\n`);
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
            if (line !== heartbeatLine && !this.closed) {
                this.receiveLine(line);
            }
        }
    }

    private receiveLine(line: string): void {
        if (line === probeLine) {
            this.write(`${heartbeatLine}\n`);
        }
        else {
            this.deliver(line);
        }
    }

    private deliver(line: string): void {
        const message = parseMessage<Incoming>(line);
        if (!message) {
            this.close(`unreadable line: ${line.slice(0, loggedCharacters)}`);
            return;
        }
        try {
            this.listener.onMessage(message);
        }
        catch (error) {
            // A message of another release or program may lack what its type promises.
            this.close(`message "${message.type}" failed: ${getErrorMessage(error)}`);
        }
    }
}

/** Undefined unless the line is an object with a type. */
const parseMessage = <Message extends LinkMessage>(line: string): Message | undefined => {
    const value = safeParseJson(line) as { readonly type?: unknown; } | null | undefined;
    return typeof value?.type === "string" ? value as Message : undefined;
};
