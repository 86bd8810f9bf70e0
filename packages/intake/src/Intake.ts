/**
 * Stands between the HTTP servers of a process and their handlers, and bounds what clients can make the process hold.
 * One for each process, as its limits are those of the process.
 */

import type { Clock, Milliseconds, Timers, Unsubscribe } from "@anvilmux/common";
import type { Logger, Metrics } from "@anvilmux/telemetry";
import type { IncomingMessage, RequestListener, Server, ServerOptions, ServerResponse } from "node:http";
import type { Server as SecureServer } from "node:https";
import type { Socket } from "node:net";
import { attachSocket } from "./attachedSockets";
import type { BodyHost } from "./BodyHost";
import type { ConnectionGuard } from "./ConnectionGuard";
import { Connections } from "./Connections";
import type { ClientConnection } from "./Connections";
import { getJobMemoryLimits, JobMemory } from "./JobMemory";
import { bodyCopies, connectionBytes, requestBytes } from "./limits";
import type { IntakeLimits } from "./limits";
import { MemoryBudget } from "./MemoryBudget";
import type { MemoryAccount, MemoryRefusal } from "./MemoryBudget";
import { ReadingTurns } from "./ReadingTurns";
import { readInPieces } from "./readInPieces";
import { Refusals } from "./Refusals";
import type { RefusalCause } from "./Refusals";
import { closeAfterResponse, endResponse } from "./responses";

export interface IntakeOptions {
    readonly limits: IntakeLimits;
    readonly clock: Clock;
    readonly timers: Timers;
    readonly logger: Logger;
    readonly metrics: Metrics;
}

export interface GuardedServerOptions {
    /** The largest body that a handler of the server reads. */
    readonly maximumBodyBytes: number;
    readonly isSecure?: boolean;
}

/** A body or response that occupies memory because its client is slow. */
interface SlowTransfer {
    readonly connection: ClientConnection;
    readonly getHeldBytes: () => number;
    readonly stop: (cause: MemoryRefusal) => void;
}

/** Memory of a connection beyond that of one body: headers, requests in progress, responses. */
const connectionMarginBytes = 1_048_576;
/** Headers in progress are held as bytes and, field by field, as text. */
const headerCopies = 2;
const checkPeriodMs: Milliseconds = 1_000;
const retryAfterSeconds = 1;

export class Intake {
    /** What all clients of the process occupy, also for listeners and holders other than HTTP servers. */
    readonly budget: MemoryBudget;
    readonly jobMemory: JobMemory;
    private readonly refusals: Refusals;
    private readonly connections = new Connections();
    private readonly bySocket = new WeakMap<Socket, ClientConnection>();
    /** Memory charged for each request until its response is complete. */
    private readonly heldByRequest = new WeakMap<IncomingMessage, { bytes: number; }>();
    /** In the order in which they began. */
    private readonly transfers = new Set<SlowTransfer>();
    private fragmentedBodies = 0;
    private readonly turns = new ReadingTurns();
    private stopChecks: Unsubscribe | undefined;

    constructor(private readonly options: IntakeOptions) {
        const { limits, metrics } = options;
        this.budget = new MemoryBudget({
            totalBytes: limits.memoryBytes,
            addressBytes: Math.floor(limits.memoryBytes * limits.addressShare),
        });
        this.jobMemory = new JobMemory(this.budget, getJobMemoryLimits(limits.memoryBytes));
        this.budget.addReclaim((refusal, favoured) => this.reclaim(refusal, favoured));
        this.refusals = new Refusals(options);
        metrics.gauge("anvilmux_client_connections", {}, () => this.connections.count);
        metrics.gauge("anvilmux_client_memory_bytes", {}, () => this.budget.heldBytes);
        metrics.gauge("anvilmux_job_memory_bytes", {}, () => this.jobMemory.heldBytes);
    }

    /** For a listener of other instances, which shares the memory for clients. */
    get peerGuard(): ConnectionGuard {
        return {
            budget: this.budget,
            maximumConnections: this.options.limits.peerConnections,
            report: (cause, address) => this.refusals.report(cause, address),
        };
    }

    get limits(): IntakeLimits {
        return this.options.limits;
    }

    /** Options for the creation of a server that is guarded. */
    get serverOptions(): ServerOptions {
        const { limits } = this.options;
        return {
            headersTimeout: limits.headersTimeoutMs,
            requestTimeout: limits.requestTimeoutMs,
            keepAliveTimeout: limits.idleTimeoutMs,
            maxHeaderSize: limits.headerBytes,
            connectionsCheckingInterval: checkPeriodMs,
        };
    }

    /**
     * Watches the connections of a server, which is not listening yet, and passes on the requests that are within
     * limits.
     */
    guard(server: Server | SecureServer, options: GuardedServerOptions, handler: RequestListener): void {
        const maximumBytes = options.maximumBodyBytes * bodyCopies + connectionMarginBytes;
        server.on(
            options.isSecure ? "secureConnection" : "connection",
            (socket: Socket) => this.accept(socket, maximumBytes),
        );
        server.on("request", (request: IncomingMessage, response: ServerResponse) => {
            if (this.admit(request, response)) {
                handler(request, response);
            }
        });
        server.on("clientError", (error: NodeJS.ErrnoException, socket: Socket) => this.handleError(error, socket));
    }

    private accept(socket: Socket, maximumBytes: number): void {
        const account = this.budget.openAccount(socket.remoteAddress ?? "", maximumBytes);
        const connection: ClientConnection = {
            socket,
            account,
            headerBytes: 0,
            isRefused: false,
            openRequests: 0,
            openBodies: 0,
            unreadChecks: 0,
            skippedTurns: 0,
            waitingRequests: 0,
        };
        this.bySocket.set(socket, connection);
        this.connections.add(connection);
        socket.once("close", () => this.remove(connection));
        attachSocket(socket, {
            input: connection,
            newBodyHost: request => this.newBodyHost(connection, request),
            chargeResponse: (response, bytes) => this.chargeResponse(connection, response, bytes),
        });
        readInPieces(socket, {
            isWanted: () => !connection.isRefused && !socket.destroyed,
            putOff: () => this.turns.end([connection]),
            onParsed: bytes => this.chargeHeaders(connection, bytes),
        });
        this.stopChecks ??= this.options.timers.every(checkPeriodMs, () => this.checkUnread());
        if (this.connections.count > this.options.limits.connections) {
            const [slowest] = this.transfers;
            this.drop(
                this.connections.findDispensable(connection.account) ?? slowest?.connection ?? connection,
                "connections",
            );
        }
        const refusal = socket.destroyed ? undefined : connection.account.charge(connectionBytes);
        if (refusal !== undefined) {
            this.drop(connection, refusal);
        }
    }

    /** Charges headers in progress: what arrived while no request is open is a part of them. */
    private chargeHeaders(connection: ClientConnection, bytes: number): void {
        if (connection.openRequests > 0 || connection.isRefused || connection.socket.destroyed) {
            return;
        }
        const refusal = connection.account.charge(bytes * headerCopies);
        if (refusal !== undefined) {
            this.drop(connection, refusal);
            return;
        }
        connection.headerBytes += bytes * headerCopies;
    }

    /** False when the request was refused or its connection closed. */
    private admit(request: IncomingMessage, response: ServerResponse): boolean {
        const connection = this.bySocket.get(request.socket);
        if (!connection) {
            // The parser still delivers all requests of the piece of input in which the connection was refused or
            // closed.
            request.socket.destroy();
            this.turns.end(this.connections.all);
            return false;
        }
        if (connection.openRequests >= this.options.limits.openRequests) {
            this.drop(connection, "open-requests");
            return false;
        }
        connection.account.release(connection.headerBytes);
        connection.headerBytes = 0;
        const bytes = requestBytes + getHeaderBytes(request);
        const refusal = connection.account.charge(bytes);
        if (refusal !== undefined) {
            this.refuse(connection, request, response, refusal);
            return false;
        }
        this.connections.handleRequest(connection);
        const held = { bytes };
        this.heldByRequest.set(request, held);
        response.on("close", () => {
            connection.account.release(held.bytes);
            this.connections.handleResponse(connection);
        });
        return true;
    }

    private refuse(
        connection: ClientConnection,
        request: IncomingMessage,
        response: ServerResponse,
        cause: MemoryRefusal,
    ): void {
        if (connection.openRequests > 0) {
            this.drop(connection, cause);
            return;
        }
        this.refusals.report(cause, connection.account.address);
        closeAfterResponse(request);
        response.writeHead(503, {
            "retry-after": String(retryAfterSeconds),
            "connection": "close",
            "content-length": 0,
        });
        endResponse(response);
        this.bySocket.delete(connection.socket);
    }

    private newBodyHost(connection: ClientConnection, request: IncomingMessage): BodyHost {
        const { account } = connection;
        const held = this.heldByRequest.get(request) ?? { bytes: 0 };
        let isFragmented = false;
        return {
            charge: bytes => {
                const refusal = connection.account.charge(bytes);
                held.bytes += refusal === undefined ? bytes : 0;
                return refusal;
            },
            release: bytes => {
                held.bytes -= bytes;
                account.release(bytes);
            },
            admitFragmented: () => {
                this.turns.end(this.connections.all);
                isFragmented = this.fragmentedBodies < this.options.limits.fragmentedBodies;
                this.fragmentedBodies += isFragmented ? 1 : 0;
                return isFragmented;
            },
            begin: body => {
                const transfer = { connection, getHeldBytes: () => body.heldBytes, stop: body.stop.bind(body) };
                connection.openBodies += 1;
                this.transfers.add(transfer);
                return () => {
                    connection.openBodies -= 1;
                    this.transfers.delete(transfer);
                    this.fragmentedBodies -= isFragmented ? 1 : 0;
                };
            },
            countFragments: chunks => this.turns.countFragments(connection, chunks),
            refuse: cause => {
                connection.isRefused = true;
                this.refusals.report(cause, account.address);
                closeAfterResponse(request);
                this.connections.handleRefusal(connection);
            },
        };
    }

    private chargeResponse(connection: ClientConnection, response: ServerResponse, bytes: number): boolean {
        const refusal = bytes === 0 ? undefined : connection.account.charge(bytes);
        if (connection.socket.destroyed) {
            return false;
        }
        if (refusal !== undefined) {
            this.drop(connection, "unread-responses");
            return false;
        }
        if (bytes > requestBytes) {
            const stop = () => this.drop(connection, "unread-responses");
            const transfer = { connection, getHeldBytes: () => bytes, stop };
            this.transfers.add(transfer);
            response.once("close", () => this.transfers.delete(transfer));
            connection.socket.once("close", () => this.transfers.delete(transfer));
        }
        const held = this.heldByRequest.get(response.req);
        if (held) {
            held.bytes += bytes;
        }
        return true;
    }

    /** Gives up the slowest body or response, or else closes an idle connection. */
    private reclaim(refusal: MemoryRefusal, favoured: MemoryAccount): boolean {
        const address = refusal === "address-memory" ? favoured.address : undefined;
        const slowest = this.findSlowest(address);
        if (slowest) {
            slowest.stop(refusal);
            this.transfers.delete(slowest);
            return true;
        }
        const dispensable = this.connections.findDispensable(favoured, address);
        if (dispensable) {
            this.drop(dispensable, refusal);
        }
        return dispensable !== undefined;
    }

    private findSlowest(address: string | undefined): SlowTransfer | undefined {
        for (const transfer of this.transfers) {
            const isOfAddress = address === undefined || transfer.connection.account.address === address;
            if (isOfAddress && transfer.getHeldBytes() > 0) {
                return transfer;
            }
        }
        return undefined;
    }

    private checkUnread(): void {
        const maximumChecks = this.options.limits.unreadTimeoutMs / checkPeriodMs;
        for (const connection of [...this.connections.atWork]) {
            connection.unreadChecks = connection.socket.writableLength > 0 ? connection.unreadChecks + 1 : 0;
            if (connection.unreadChecks > maximumChecks) {
                this.drop(connection, "unread-responses");
            }
        }
    }

    private handleError(error: NodeJS.ErrnoException, socket: Socket): void {
        const connection = this.bySocket.get(socket);
        const response = getErrorResponse(error);
        if (connection) {
            // The parser would report the same error for each further piece.
            connection.isRefused = true;
        }
        if (response && connection) {
            this.refusals.report(response.cause, connection.account.address);
        }
        // Where a response may have begun, another one would be taken for a part of it.
        if (!response || !socket.writable || !connection || connection.openRequests > connection.openBodies) {
            socket.destroy();
            return;
        }
        socket.write(`HTTP/1.1 ${response.status}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n`);
        socket.destroySoon();
    }

    /** Closes a connection at once. */
    private drop(connection: ClientConnection, cause: RefusalCause): void {
        this.refusals.report(cause, connection.account.address);
        this.remove(connection);
        connection.socket.destroy();
    }

    private remove(connection: ClientConnection): void {
        connection.account.close();
        this.connections.remove(connection);
        this.bySocket.delete(connection.socket);
        if (this.connections.count === 0) {
            this.stopChecks?.();
            this.stopChecks = undefined;
        }
    }
}

const getHeaderBytes = ({ rawHeaders, url }: IncomingMessage): number => {
    let bytes = url?.length ?? 0;
    for (const text of rawHeaders) {
        bytes += text.length;
    }
    return bytes;
};

const getErrorResponse = (
    { code }: NodeJS.ErrnoException,
): { readonly cause: RefusalCause; readonly status: string; } | undefined => {
    switch (code) {
        case "HPE_HEADER_OVERFLOW":
            return { cause: "headers-too-large", status: "431 Request Header Fields Too Large" };
        case "HPE_CHUNK_EXTENSIONS_OVERFLOW":
            return { cause: "too-large", status: "413 Payload Too Large" };
        case "ERR_HTTP_REQUEST_TIMEOUT":
            return { cause: "timeout", status: "408 Request Timeout" };
        default:
            return code?.startsWith("HPE_") ? { cause: "malformed", status: "400 Bad Request" } : undefined;
    }
};
