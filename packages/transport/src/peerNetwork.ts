/** RPC clients for other instances, over HTTP/2; calls to one address share a connection. */

import { ConsensusService, PeerService } from "@anvilmux/protocol";
import { createClient } from "@connectrpc/connect";
import type { Interceptor, Transport } from "@connectrpc/connect";
import { createGrpcTransport, Http2SessionManager } from "@connectrpc/connect-node";
import { peerSecretHeader } from "./credentials";
import type { PeerSecrets } from "./credentials";
import type { ConsensusClient, PeerClient, PeerNetwork, PeerTls } from "./types";

export interface PeerNetworkOptions {
    readonly secrets: PeerSecrets;
    /** Called at the first call to an address; reconnects to it use the same certificates until `close`. */
    readonly getTls?: () => PeerTls | undefined;
    /** Called with the method name once for each request sent, to count messages. */
    readonly onMessage?: (method: string) => void;
    /** Returns false for addresses to which calls must fail; used to simulate network partitions. */
    readonly isReachable?: (address: string) => boolean;
}

interface Connection {
    readonly sessions: Http2SessionManager;
    readonly peer: PeerClient;
    readonly consensus: ConsensusClient;
}

const pingIntervalMs = 2_000;
const pingTimeoutMs = 1_000;

const newConnection = (address: string, options: PeerNetworkOptions): Connection => {
    const tls = options.getTls?.();
    const baseUrl = `${tls ? "https" : "http"}://${address}`;
    const nodeOptions = tls
        ? { cert: tls.certificatePem, key: tls.privateKeyPem, ca: tls.authorityPem }
        : undefined;
    const sessions = new Http2SessionManager(
        baseUrl,
        { pingIntervalMs, pingTimeoutMs, pingIdleConnection: false },
        nodeOptions,
    );
    const authenticate: Interceptor = next => async request => {
        if (options.isReachable && !options.isReachable(address)) {
            throw new Error(`${address} is cut off`);
        }
        request.header.set(peerSecretHeader, options.secrets[0] ?? "");
        options.onMessage?.(request.method.name);
        return next(request);
    };
    const transport: Transport = createGrpcTransport({
        baseUrl,
        interceptors: [authenticate],
        sessionManager: sessions,
    });
    return {
        sessions,
        peer: createClient(PeerService, transport),
        consensus: createClient(ConsensusService, transport),
    };
};

export const newPeerNetwork = (options: PeerNetworkOptions): PeerNetwork => {
    const connections = new Map<string, Connection>();
    const connect = (address: string): Connection => {
        const present = connections.get(address);
        if (present) {
            return present;
        }
        const connection = newConnection(address, options);
        connections.set(address, connection);
        return connection;
    };
    return {
        peer: address => connect(address).peer,
        consensus: address => connect(address).consensus,
        close: () => {
            connections.forEach(connection => connection.sessions.abort());
            connections.clear();
        },
    };
};
