/** HTTP/2 server for other instances; rejects requests without a valid peer secret before any handler runs. */

import { newSystemTimers, toAddress } from "@anvilmux/common";
import type { Address, Milliseconds, Timers } from "@anvilmux/common";
import { newUnlimitedGuard } from "@anvilmux/intake";
import type { ConnectionGuard } from "@anvilmux/intake";
import type { ConnectRouter } from "@connectrpc/connect";
import { connectNodeAdapter } from "@connectrpc/connect-node";
import { createSecureServer, createServer } from "node:http2";
import type { Http2SecureServer, Http2Server } from "node:http2";
import type { AddressInfo, Socket } from "node:net";
import { authenticateRequests } from "./authenticateRequests";
import type { PeerSecrets } from "./credentials";
import { TransportError } from "./errors";
import { PeerSessions } from "./PeerSessions";
import type { PeerTls } from "./types";

export interface PeerServerOptions {
    readonly host: string;
    /** IP address under which other instances reach this one; `host` when absent. */
    readonly announcedHost?: string;
    /** 0 selects a free port. */
    readonly port: number;
    readonly secrets: PeerSecrets;
    readonly tls?: PeerTls;
    /** Bounds the connections; unlimited when absent. */
    readonly guard?: ConnectionGuard;
    readonly timers?: Timers;
    readonly routes: (router: ConnectRouter) => void;
}

const maximumMessageBytes = 8 * 1_048_576;
const handshakeTimeoutMs: Milliseconds = 5_000;

export class PeerServer {
    private readonly sockets = new Set<Socket>();
    private closedBytes = 0;

    private constructor(private readonly server: Http2Server | Http2SecureServer, readonly address: Address) {
    }

    static async listen(options: PeerServerOptions): Promise<PeerServer> {
        const guard = options.guard ?? newUnlimitedGuard();
        const sessions = new PeerSessions(guard, options.timers ?? newSystemTimers());
        const adapter = connectNodeAdapter({
            routes: router => {
                options.routes(router);
            },
            readMaxBytes: maximumMessageBytes,
        });
        const handler = authenticateRequests(options.secrets, {
            onAuthenticated: request => sessions.recordAuthenticated(request.stream.session),
            onRejected: request => sessions.recordRejected(request.stream.session),
        }, adapter);
        const server = options.tls
            ? createSecureServer({
                cert: options.tls.certificatePem,
                key: options.tls.privateKeyPem,
                ca: options.tls.authorityPem,
                requestCert: true,
                rejectUnauthorized: true,
                handshakeTimeout: handshakeTimeoutMs,
            }, handler)
            : createServer(handler);
        server.on("sessionError", () => undefined);
        server.on("session", session => sessions.add(session));
        if (options.tls && Number.isFinite(guard.maximumConnections)) {
            // A session begins with the end of its TLS handshake.
            server.maxConnections = guard.maximumConnections;
        }
        await new Promise<void>((resolve, reject) => {
            server.once(
                "error",
                error =>
                    reject(
                        new TransportError(
                            "listen-failed",
                            `cannot listen for peers on ${options.host}:${options.port}`,
                            error,
                        ),
                    ),
            );
            server.listen(options.port, options.host, resolve);
        });
        const { port } = server.address() as AddressInfo;
        const peerServer = new PeerServer(server, toAddress(`${options.announcedHost ?? options.host}:${port}`));
        server.on("connection", (socket: Socket) => peerServer.track(socket));
        return peerServer;
    }

    /** Applies renewed certificates to new connections. */
    reloadTls(tls: PeerTls): void {
        if ("setSecureContext" in this.server) {
            this.server.setSecureContext({ cert: tls.certificatePem, key: tls.privateKeyPem, ca: tls.authorityPem });
        }
    }

    /** Bytes received and sent on all connections since the server started. */
    getByteCount(): number {
        let bytes = this.closedBytes;
        this.sockets.forEach(socket => bytes += socket.bytesRead + socket.bytesWritten);
        return bytes;
    }

    async close(): Promise<void> {
        const closed = new Promise<void>(resolve => this.server.close(() => resolve()));
        this.sockets.forEach(socket => socket.destroy());
        await closed;
    }

    private track(socket: Socket): void {
        this.sockets.add(socket);
        socket.once("close", () => {
            this.sockets.delete(socket);
            this.closedBytes += socket.bytesRead + socket.bytesWritten;
        });
    }
}
