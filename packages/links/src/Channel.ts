/**
 * One persistent TCP connection that carries newline-delimited JSON in both directions. An end that has received nothing
 * for a while probes its peer, which answers with an empty line, so that a failed connection is detected without a TCP
 * reset. Each end decides by itself how soon: at once while the connection is urgent, that is, while it awaits an
 * answer or a decision depends on the peer, and later otherwise.
 *
 * What is read after a silence, or while the peer's answers come late, can be old: this process did not run, or the network
 * held it back. Its sender may have closed the connection since, whose end is read later. Whoever acts on a message that
 * must not be old waits until the peer has answered a probe (`whenPeerPresent`).
 */

import { atTurnEnd, getErrorMessage, hasMoreValues, safeParseJson } from "@anvilmux/common";
import type { Clock, Milliseconds } from "@anvilmux/common";
import type { RefusalCause } from "@anvilmux/intake";
import type { Socket } from "node:net";
import { noGuard } from "./ChannelGuard";
import type { ChannelGuard } from "./ChannelGuard";
import {
    doubtfulSilenceMs,
    heartbeatPeriodMs,
    heartbeatTimeoutMs,
    identificationTimeoutMs,
    idleHeartbeatPeriodMs,
    idleHeartbeatTimeoutMs,
    maximumFirstLineCharacters,
    maximumLineCharacters,
    maximumLineValues,
    maximumProbeLines,
    maximumUnsentBytes,
} from "./constants";
import { encodeMessage } from "./encodeMessage";
import type { EncodedMessage } from "./encodeMessage";
import { HeldMemory } from "./HeldMemory";
import { LineReader } from "./LineReader";
import type { LinkMessage } from "./types";

export interface ChannelListener<Incoming extends LinkMessage> {
    readonly onMessage: (message: Incoming) => void;
    /** Called once, when the channel closes for any reason. */
    readonly onClose: (reason: string) => void;
    /** True while a failure of the peer has to be detected soon; always when absent. */
    readonly isUrgent?: () => boolean;
}

/** The reason for which a channel closes when the peer closed it, or the peer's process ended. */
export const closedByPeer = "closed by the peer";
/** Asks the peer for `heartbeatLine`. */
const probeLine = "?";
const heartbeatLine = "";
/** Length of the part of an unreadable line that is logged. */
const loggedCharacters = 80;

export class Channel<Incoming extends LinkMessage, Outgoing extends LinkMessage> {
    private readonly reader = new LineReader();
    private readonly heldLine: HeldMemory;
    /** What the peer has not read. */
    private readonly heldOutput: HeldMemory;
    /** Since when the connection is open, and since when it has an incomplete line. */
    private openSince: Milliseconds;
    private lineSince: Milliseconds | undefined;
    private unsent: string[] = [];
    private receivedAt: Milliseconds;
    private probedAt: Milliseconds;
    /** When the connection became urgent; undefined while it is not. */
    private urgentSince: Milliseconds | undefined;
    private closed = false;
    private sentProbes = 0;
    /** Probes and answers to probes that were received since the last check. */
    private probeLines = 0;
    /** When the probes without an answer were sent, the oldest first. */
    private openProbes: Milliseconds[] = [];
    /** True while what was received last is recent: the peer answered a probe in time, and there was no long silence since. */
    private isPeerPresent = false;
    /** Number of the probe that the `presenceListeners` wait for. */
    private presenceProbe = 0;
    private presenceListeners: (() => void)[] = [];

    constructor(
        private readonly socket: Socket,
        private readonly clock: Clock,
        private readonly listener: ChannelListener<Incoming>,
        private readonly guard: ChannelGuard = noGuard,
    ) {
        this.heldLine = new HeldMemory(guard);
        this.heldOutput = new HeldMemory(guard);
        this.receivedAt = clock.now();
        this.probedAt = this.receivedAt;
        this.openSince = this.receivedAt;
        socket.setNoDelay(true);
        socket.on("data", bytes => this.receive(bytes));
        socket.on("error", error => this.close(getErrorMessage(error)));
        socket.on("close", () => this.close(closedByPeer));
        socket.on("drain", () => this.heldOutput.set(0));
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

    /**
     * Calls `listener` as soon as it is certain that the peer still had this connection open after it sent what has been
     * received so far: at once, or when it has answered a probe. Never, if the connection closes before.
     */
    whenPeerPresent(listener: () => void): void {
        if (this.isPeerPresent) {
            listener();
            return;
        }
        if (this.presenceListeners.length === 0) {
            this.presenceProbe = this.probe();
        }
        this.presenceListeners.push(listener);
    }

    /** Probes the peer when due; closes the channel when nothing was received within the heartbeat timeout. */
    check(): void {
        const now = this.clock.now();
        this.probeLines = 0;
        const isUrgent = this.listener.isUrgent?.() ?? true;
        this.urgentSince = isUrgent ? this.urgentSince ?? now : undefined;
        const timeout = isUrgent ? heartbeatTimeoutMs : idleHeartbeatTimeoutMs;
        if (!this.guard.isIdentified() && now - this.openSince > identificationTimeoutMs) {
            this.refuse("unknown-peer", `did not say who it is within ${identificationTimeoutMs} ms`);
            return;
        }
        if (now - (this.lineSince ?? now) > this.guard.lineTimeoutMs) {
            this.refuse("timeout", `line not complete within ${this.guard.lineTimeoutMs} ms`);
            return;
        }
        if (now - Math.max(this.receivedAt, this.urgentSince ?? 0) > timeout) {
            this.close(`received nothing for ${Math.round(now - this.receivedAt)} ms`);
            return;
        }
        const period = isUrgent ? heartbeatPeriodMs : idleHeartbeatPeriodMs;
        if (now - Math.max(this.receivedAt, this.probedAt) >= period) {
            this.probe();
        }
    }

    /** Restarts the timeouts of the peer; used after this process itself stalled. */
    resetHeartbeatTimeout(): void {
        this.receivedAt = this.clock.now();
        this.openSince = this.receivedAt;
        this.lineSince = this.lineSince === undefined ? undefined : this.receivedAt;
        this.doubtPeer();
    }

    /** Closes the channel after what was sent has been handed to the system, for a process that ends. */
    finish(reason: string): void {
        if (this.unsent.length > 0) {
            this.flush();
        }
        this.close(reason);
    }

    /** Closes the channel; messages of this turn of the event loop are dropped. */
    close(reason: string): void {
        if (this.closed) {
            return;
        }
        this.closed = true;
        this.reader.clear();
        this.unsent = [];
        this.socket.destroy();
        this.listener.onClose(reason);
    }

    /** What is received from now on may be old, answers to earlier probes among it. */
    private doubtPeer(): void {
        this.isPeerPresent = false;
        if (this.presenceListeners.length > 0) {
            this.presenceProbe = this.probe();
        }
    }

    /** Returns the number of the probe. */
    private probe(): number {
        this.probedAt = this.clock.now();
        this.write(`${probeLine}\n`);
        this.openProbes.push(this.probedAt);
        this.sentProbes += 1;
        return this.sentProbes;
    }

    /** The peer answers probes in their order. A late answer tells that what comes on this connection is old. */
    private handleProbeAnswer(): void {
        const sentAt = this.openProbes.shift();
        if (sentAt === undefined) {
            return;
        }
        const isInTime = this.clock.now() - sentAt <= doubtfulSilenceMs;
        if (!isInTime) {
            this.isPeerPresent = false;
        }
        if (this.presenceListeners.length > 0 && this.sentProbes - this.openProbes.length >= this.presenceProbe) {
            const listeners = this.presenceListeners;
            this.presenceListeners = [];
            this.isPeerPresent = isInTime;
            listeners.forEach(listener => listener());
        }
    }

    private write(line: string): void {
        if (this.closed) {
            return;
        }
        if (this.unsent.length === 0) {
            atTurnEnd(() => this.flush());
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
        // A peer that reads what it is sent is not charged.
        if (!this.socket.write(text) && !this.heldOutput.set(this.socket.writableLength)) {
            this.refuse("unread-responses", "the peer reads too slowly");
        }
    }

    /** Closes the channel because the peer occupies too much, or does not say who it is. */
    private refuse(cause: RefusalCause, reason: string): void {
        this.guard.onRefuse(cause);
        this.close(reason);
    }

    private receive(bytes: Buffer): void {
        const now = this.clock.now();
        if (now - this.receivedAt > doubtfulSilenceMs) {
            this.doubtPeer();
        }
        this.receivedAt = now;
        const lines = this.reader.read(bytes);
        for (const line of lines) {
            if (!this.closed) {
                this.receiveLine(line);
            }
        }
        if (!this.closed) {
            const lineSince = lines.length > 0 ? now : this.lineSince ?? now;
            this.lineSince = this.reader.heldCharacters > 0 ? lineSince : undefined;
            this.checkIncompleteLine();
        }
    }

    /** Charges the incomplete line; closes the channel when it is too long, or the memory does not suffice. */
    private checkIncompleteLine(): void {
        const { heldCharacters } = this.reader;
        const limit = this.guard.isIdentified() ? maximumLineCharacters : maximumFirstLineCharacters;
        if (heldCharacters > limit) {
            this.refuse("too-large", "line too long");
        }
        else if (!this.heldLine.set(heldCharacters)) {
            this.refuse("memory", "line too long for the memory that is left");
        }
    }

    private receiveLine(line: string): void {
        if (line !== heartbeatLine && line !== probeLine) {
            this.deliver(line);
            return;
        }
        this.probeLines += 1;
        if (this.probeLines > maximumProbeLines) {
            this.refuse("malformed", "too many probes");
        }
        else if (line === heartbeatLine) {
            this.handleProbeAnswer();
        }
        else {
            this.write(`${heartbeatLine}\n`);
        }
    }

    private deliver(line: string): void {
        if (hasMoreValues(line, maximumLineValues)) {
            this.refuse("too-large", "line with too many values");
            return;
        }
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
