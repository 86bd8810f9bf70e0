/** HTTP/2 server for other instances; rejects requests without a valid peer secret before any handler runs. */

import { toAddress } from "@anvilmux/common";
import type { Address } from "@anvilmux/common";
import { Code, ConnectError } from "@connectrpc/connect";
import type { ConnectRouter, Interceptor } from "@connectrpc/connect";
import { connectNodeAdapter } from "@connectrpc/connect-node";
import { createSecureServer, createServer } from "node:http2";
import type { Http2SecureServer, Http2Server } from "node:http2";
import type { AddressInfo, Socket } from "node:net";
import { isKnownSecret, peerSecretHeader } from "./credentials";
import type { PeerSecrets } from "./credentials";
import { TransportError } from "./errors";
import type { PeerTls } from "./types";

export interface PeerServerOptions {
    readonly host: string;
    /** IP address under which other instances reach this one; `host` when absent. */
    readonly announcedHost?: string;
    /** 0 selects a free port. */
    readonly port: number;
    readonly secrets: PeerSecrets;
    readonly tls?: PeerTls;
    readonly routes: (router: ConnectRouter) => void;
}

const maximumMessageBytes = 8 * 1_048_576;

const newAuthenticationInterceptor = (secrets: PeerSecrets): Interceptor => next => async request => {
    if (!isKnownSecret(request.header.get(peerSecretHeader) ?? undefined, secrets)) {
        throw new ConnectError("unknown peer", Code.Unauthenticated);
    }
    return next(request);
};

export class PeerServer {
    private readonly sockets = new Set<Socket>();
    private closedBytes = 0;

    private constructor(private readonly server: Http2Server | Http2SecureServer, readonly address: Address) {
    }

    static async listen(options: PeerServerOptions): Promise<PeerServer> {
        const handler = connectNodeAdapter({
            routes: router => {
                options.routes(router);
            },
            interceptors: [newAuthenticationInterceptor(options.secrets)],
            readMaxBytes: maximumMessageBytes,
        });
        const server = options.tls
            ? createSecureServer({
                cert: options.tls.certificatePem,
                key: options.tls.privateKeyPem,
                ca: options.tls.authorityPem,
                requestCert: true,
                rejectUnauthorized: true,
            }, handler)
            : createServer(handler);
        server.on("sessionError", () => undefined);
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
