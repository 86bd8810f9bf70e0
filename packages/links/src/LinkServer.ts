/** The server end of persistent connections. */

import { toAddress } from "@anvilmux/common";
import type { Address } from "@anvilmux/common";
import { createServer } from "node:net";
import type { AddressInfo, Server, Socket } from "node:net";
import { Channel } from "./Channel";
import type { ChannelChecker } from "./ChannelChecker";
import { toLinkConnection } from "./toLinkConnection";
import type { LinkConnection, LinkEnvironment, LinkMessage } from "./types";

/** Handlers of one accepted connection. */
export interface Session<Incoming extends LinkMessage> {
    readonly onMessage: (message: Incoming) => void;
    readonly onClose: (reason: string) => void;
    /** True while a failure of the peer has to be detected soon; always when absent. */
    readonly isUrgent?: () => boolean;
}

export interface LinkServerOptions<Incoming extends LinkMessage, Outgoing extends LinkMessage> {
    readonly host: string;
    readonly port: number;
    readonly checker: ChannelChecker;
    readonly accept: (connection: LinkConnection<Outgoing>) => Session<Incoming>;
}

export class LinkServer<Incoming extends LinkMessage, Outgoing extends LinkMessage> {
    private readonly channels = new Set<Channel<Incoming, Outgoing>>();

    private constructor(
        private readonly server: Server,
        private readonly environment: LinkEnvironment,
        private readonly options: LinkServerOptions<Incoming, Outgoing>,
    ) {
        server.on("connection", socket => this.accept(socket));
    }

    /** Rejects when the port cannot be bound. */
    static async listen<Incoming extends LinkMessage, Outgoing extends LinkMessage>(
        environment: LinkEnvironment,
        options: LinkServerOptions<Incoming, Outgoing>,
    ): Promise<LinkServer<Incoming, Outgoing>> {
        const server = createServer();
        const linkServer = new LinkServer(server, environment, options);
        await new Promise<void>((resolve, reject) => {
            server.once("error", reject);
            server.listen(options.port, options.host, resolve);
        });
        return linkServer;
    }

    get address(): Address {
        const { address, port } = this.server.address() as AddressInfo;
        return toAddress(`${address}:${port}`);
    }

    close(): void {
        this.server.close();
        [...this.channels].forEach(channel => channel.finish("stopped"));
    }

    private accept(socket: Socket): void {
        let session: Session<Incoming> | undefined = undefined;
        const channel: Channel<Incoming, Outgoing> = new Channel(socket, this.environment.clock, {
            onMessage: message => session?.onMessage(message),
            isUrgent: () => session?.isUrgent?.() ?? true,
            onClose: reason => {
                this.channels.delete(channel);
                session?.onClose(reason);
            },
        });
        this.channels.add(channel);
        this.options.checker.add(channel);
        session = this.options.accept(toLinkConnection(channel));
    }
}
