/** The client end of a persistent connection; reconnects with exponential backoff after a failure or close. */

import { getErrorMessage, splitAddress } from "@anvilmux/common";
import type { Address, Milliseconds, Unsubscribe } from "@anvilmux/common";
import { connect } from "node:net";
import type { Socket } from "node:net";
import { Channel } from "./Channel";
import type { ChannelChecker } from "./ChannelChecker";
import { connectTimeoutMs, initialReconnectDelayMs, maximumReconnectDelayMs } from "./constants";
import { toLinkConnection } from "./toLinkConnection";
import type { LinkConnection, LinkEnvironment, LinkMessage, OpenSocket } from "./types";

export interface LinkOptions<Incoming extends LinkMessage, Outgoing extends LinkMessage> {
    readonly address: Address;
    readonly checker: ChannelChecker;
    /** Opens a TCP connection when absent. */
    readonly openSocket?: OpenSocket | undefined;
    readonly onOpen: (connection: LinkConnection<Outgoing>) => void;
    readonly onMessage: (message: Incoming) => void;
    readonly onClose: (reason: string) => void;
    /** True while a failure of the peer has to be detected soon; always when absent. */
    readonly isUrgent?: () => boolean;
    /** Called when an attempt to connect failed. */
    readonly onUnreachable?: () => void;
}

const openTcpSocket: OpenSocket = address => connect(splitAddress(address));

export class Link<Incoming extends LinkMessage, Outgoing extends LinkMessage> {
    private channel: Channel<Incoming, Outgoing> | undefined;
    private reconnectDelay: Milliseconds = initialReconnectDelayMs;
    private cancelReconnect: Unsubscribe = () => undefined;
    private stopped = false;

    constructor(
        private readonly environment: LinkEnvironment,
        private readonly options: LinkOptions<Incoming, Outgoing>,
    ) {
        this.connect();
    }

    get address(): Address {
        return this.options.address;
    }

    get isOpen(): boolean {
        return this.channel?.isOpen ?? false;
    }

    /** When anything was last received on the open connection; undefined without one. */
    get lastReceivedAt(): Milliseconds | undefined {
        return this.channel?.lastReceivedAt;
    }

    /** Sends a message; false when the link is not open, in which case the message is dropped. */
    send(message: Outgoing): boolean {
        this.channel?.send(message);
        return this.isOpen;
    }

    stop(): void {
        this.stopped = true;
        this.cancelReconnect();
        this.channel?.finish("stopped");
    }

    private connect(): void {
        const socket = this.openSocket();
        if (!socket) {
            this.cancelReconnect = this.environment.timers.after(0, () => this.handleUnreachable());
            return;
        }
        let settled = false;
        const fail = () => {
            if (!settled) {
                settled = true;
                socket.destroy();
                this.handleUnreachable();
            }
        };
        const cancelTimeout = this.environment.timers.after(connectTimeoutMs, fail);
        this.cancelReconnect = () => {
            cancelTimeout();
            settled = true;
            socket.destroy();
        };
        socket.on("error", fail);
        socket.once("connect", () => {
            cancelTimeout();
            if (!settled) {
                settled = true;
                this.open(socket);
            }
        });
    }

    /** Undefined for an address that no connection can be opened to, as another program may announce it. */
    private openSocket(): Socket | undefined {
        const { address, openSocket = openTcpSocket } = this.options;
        try {
            return openSocket(address);
        }
        catch (error) {
            this.environment.logger.warn("address cannot be connected to", { address, reason: getErrorMessage(error) });
            return undefined;
        }
    }

    private handleUnreachable(): void {
        this.scheduleReconnect();
        this.options.onUnreachable?.();
    }

    private open(socket: Socket): void {
        this.reconnectDelay = initialReconnectDelayMs;
        this.channel = new Channel<Incoming, Outgoing>(socket, this.environment.clock, {
            onMessage: this.options.onMessage,
            isUrgent: () => this.options.isUrgent?.() ?? true,
            onClose: reason => {
                this.channel = undefined;
                this.options.onClose(reason);
                this.scheduleReconnect();
            },
        });
        this.options.checker.add(this.channel);
        this.options.onOpen(toLinkConnection(this.channel));
    }

    private scheduleReconnect(): void {
        if (this.stopped) {
            return;
        }
        this.cancelReconnect = this.environment.timers.after(this.reconnectDelay, () => this.connect());
        this.reconnectDelay = Math.min(maximumReconnectDelayMs, this.reconnectDelay * 2);
    }
}
