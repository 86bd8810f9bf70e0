/** RPC clients for other instances, over HTTP/2; calls to one address share a connection. */

import type { Clock, Milliseconds } from "@anvilmux/common";
import { ConsensusService, PeerService } from "@anvilmux/protocol";
import { Code, ConnectError, createClient } from "@connectrpc/connect";
import type { Interceptor, Transport } from "@connectrpc/connect";
import { createGrpcTransport, Http2SessionManager } from "@connectrpc/connect-node";
import type { Socket } from "node:net";
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
    readonly clock: Clock;
    /** Opens the socket of a connection without TLS; used to simulate lost packets. */
    readonly openSocket?: (url: URL) => Socket;
}

interface Connection {
    readonly sessions: Http2SessionManager;
    readonly peer: PeerClient;
    readonly consensus: ConsensusClient;
}

const pingIntervalMs = 2_000;
const pingTimeoutMs = 1_000;
/**
 * Time without any answer after which a call that times out closes the connection. The system sends lost packets again
 * after seconds only, also those of a connection attempt; a new connection does not wait for that.
 */
const silenceTimeoutMs: Milliseconds = 600;

const newConnection = (address: string, options: PeerNetworkOptions): Connection => {
    const tls = options.getTls?.();
    const baseUrl = `${tls ? "https" : "http"}://${address}`;
    const nodeOptions = tls
        ? { cert: tls.certificatePem, key: tls.privateKeyPem, ca: tls.authorityPem }
        : options.openSocket && { createConnection: options.openSocket };
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
        interceptors: [newSilenceInterceptor(options.clock, () => sessions.abort()), authenticate],
        sessionManager: sessions,
    });
    return {
        sessions,
        peer: createClient(PeerService, transport),
        consensus: createClient(ConsensusService, transport),
    };
};

/** Calls `onSilence` when a call times out and none was answered for `silenceTimeoutMs` while some were open. */
const newSilenceInterceptor = (clock: Clock, onSilence: () => void): Interceptor => {
    let unansweredSince: Milliseconds | undefined;
    return next => async request => {
        unansweredSince ??= clock.now();
        try {
            const response = await next(request);
            unansweredSince = undefined;
            return response;
        }
        catch (error) {
            const { code } = ConnectError.from(error);
            const isSilent = clock.now() - (unansweredSince ?? clock.now()) >= silenceTimeoutMs;
            if (code !== Code.DeadlineExceeded || isSilent) {
                unansweredSince = undefined;
            }
            if (code === Code.DeadlineExceeded && isSilent) {
                onSilence();
            }
            throw error;
        }
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
