/**
 * The open connections of a process, below a limit. Beyond it, connections are closed in this order: those without any
 * request so far, the oldest first (idle ones and slow headers); those idle after an answer, the longest idle first;
 * those that are slow with a body or a response. When all are at work, the newest is refused.
 */

import type { Socket } from "node:net";
import type { InputState } from "./attachedSockets";
import type { MemoryAccount } from "./MemoryBudget";

/** An open connection. */
export interface ClientConnection extends InputState {
    readonly socket: Socket;
    readonly account: MemoryAccount;
    /** Charged for headers that are not complete. */
    headerBytes: number;
    /** True once nothing more that it sends is parsed. */
    isRefused: boolean;
    /** Requests without a complete response. */
    openRequests: number;
    /** Bodies that are being read. */
    openBodies: number;
    /** Checks in a row at which the client had left responses unread. */
    unreadChecks: number;
}

export class Connections {
    /** Each in the order of how long connections have been in that state. */
    private readonly unused = new Set<ClientConnection>();
    private readonly idle = new Set<ClientConnection>();
    private readonly busy = new Set<ClientConnection>();

    get count(): number {
        return this.unused.size + this.idle.size + this.busy.size;
    }

    /** Connections with requests in progress. */
    get atWork(): Iterable<ClientConnection> {
        return this.busy;
    }

    get all(): readonly ClientConnection[] {
        return [...this.unused, ...this.idle, ...this.busy];
    }

    add(connection: ClientConnection): void {
        this.unused.add(connection);
    }

    remove(connection: ClientConnection): void {
        this.unused.delete(connection);
        this.idle.delete(connection);
        this.busy.delete(connection);
    }

    handleRequest(connection: ClientConnection): void {
        connection.openRequests += 1;
        if (connection.openRequests === 1) {
            this.unused.delete(connection);
            this.idle.delete(connection);
            this.busy.add(connection);
        }
    }

    handleResponse(connection: ClientConnection): void {
        connection.openRequests -= 1;
        if (connection.openRequests === 0 && this.busy.delete(connection)) {
            this.idle.add(connection);
        }
    }

    /** Counts a connection as unused if it only stays open for the client to read the answer to the refused request. */
    handleRefusal(connection: ClientConnection): void {
        if (connection.openRequests === 1 && this.busy.delete(connection)) {
            this.unused.add(connection);
        }
    }

    /**
     * The connection that is to be closed in favour of another one's account, from `address` if one is given; undefined
     * when all others are at work.
     */
    findDispensable(favoured: MemoryAccount, address?: string): ClientConnection | undefined {
        for (const connections of [this.unused, this.idle]) {
            for (const connection of connections) {
                const isOfAddress = address === undefined || connection.account.address === address;
                if (connection.account !== favoured && isOfAddress) {
                    return connection;
                }
            }
        }
        return undefined;
    }
}
