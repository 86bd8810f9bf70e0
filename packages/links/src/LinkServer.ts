/** The server end of persistent connections. */

import { toAddress } from "@anvilmux/common";
import type { Address } from "@anvilmux/common";
import { AcceptedConnections, newUnlimitedGuard } from "@anvilmux/intake";
import type { AcceptedConnection, ConnectionGuard } from "@anvilmux/intake";
import { createServer } from "node:net";
import type { AddressInfo, Server, Socket } from "node:net";
import { Channel } from "./Channel";
import type { ChannelChecker } from "./ChannelChecker";
import { channelBytes, lineTimeoutMs, maximumLineCharacters, maximumUnsentBytes } from "./constants";
import { toLinkConnection } from "./toLinkConnection";
import type { LinkConnection, LinkEnvironment, LinkMessage } from "./types";

/** Handlers of one accepted connection. */
export interface Session<Incoming extends LinkMessage> {
    readonly onMessage: (message: Incoming) => void;
    readonly onClose: (reason: string) => void;
    /** True while a failure of the peer has to be detected soon; always when absent. */
    readonly isUrgent?: () => boolean;
    /** False until the peer has said who it is, which it has to do first; always true when absent. */
    readonly isIdentified?: () => boolean;
}

export interface LinkServerOptions<Incoming extends LinkMessage, Outgoing extends LinkMessage> {
    readonly host: string;
    readonly port: number;
    readonly checker: ChannelChecker;
    /** Unlimited when absent. */
    readonly guard?: ConnectionGuard | undefined;
    readonly accept: (connection: LinkConnection<Outgoing>) => Session<Incoming>;
}

export class LinkServer<Incoming extends LinkMessage, Outgoing extends LinkMessage> {
    private readonly connections: AcceptedConnections;
    private readonly guard: ConnectionGuard;

    private constructor(
        private readonly server: Server,
        private readonly environment: LinkEnvironment,
        private readonly options: LinkServerOptions<Incoming, Outgoing>,
    ) {
        this.guard = options.guard ?? newUnlimitedGuard();
        this.connections = new AcceptedConnections(this.guard);
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
        this.connections.closeAll("stopped");
    }

    private accept(socket: Socket): void {
        let session: Session<Incoming> | undefined = undefined;
        const { budget, report } = this.guard;
        const address = socket.remoteAddress ?? "";
        const isIdentified = () => session?.isIdentified?.() ?? true;
        const accepted: AcceptedConnection = {
            address,
            account: budget.openAccount(address, channelBytes + maximumLineCharacters + maximumUnsentBytes),
            isIdentified,
            close: reason => channel.finish(reason),
        };
        const channel: Channel<Incoming, Outgoing> = new Channel(socket, this.environment.clock, {
            onMessage: message => session?.onMessage(message),
            isUrgent: () => session?.isUrgent?.() ?? true,
            onClose: reason => {
                this.connections.remove(accepted);
                session?.onClose(reason);
            },
        }, {
            isIdentified,
            lineTimeoutMs,
            charge: bytes => accepted.account.charge(bytes) === undefined,
            release: bytes => accepted.account.release(bytes),
            onRefuse: cause => report(cause, address),
        });
        if (!this.connections.add(accepted, channelBytes)) {
            channel.close("too many connections");
            return;
        }
        this.options.checker.add(channel);
        session = this.options.accept(toLinkConnection(channel));
    }
}
