/**
 * The connections that a listener for other instances accepted, below a limit. Anybody who reaches the port can open
 * one, so those that have not said who they are make room for others: the oldest of the address that has the most.
 */

import type { ConnectionGuard } from "./ConnectionGuard";
import type { MemoryAccount } from "./MemoryBudget";
import type { RefusalCause } from "./Refusals";

export interface AcceptedConnection {
    readonly address: string;
    readonly account: MemoryAccount;
    readonly isIdentified: () => boolean;
    readonly close: (reason: string) => void;
}

export class AcceptedConnections {
    private readonly connections = new Set<AcceptedConnection>();

    constructor(private readonly guard: ConnectionGuard) {
        guard.budget.addReclaim((refusal, favoured) => {
            const address = refusal === "address-memory" ? favoured.address : undefined;
            return this.closeUnidentified(favoured, refusal, address);
        });
    }

    get count(): number {
        return this.connections.size;
    }

    /** Adds a connection, for which others may be closed. False when there is no room, and it has to be closed. */
    add(connection: AcceptedConnection, bytes: number): boolean {
        const isFull = this.connections.size >= this.guard.maximumConnections;
        if (isFull && !this.closeUnidentified(connection.account, "connections", undefined)) {
            this.guard.report("connections", connection.address);
            return false;
        }
        const refusal = connection.account.charge(bytes);
        if (refusal !== undefined) {
            this.guard.report(refusal, connection.address);
            return false;
        }
        this.connections.add(connection);
        return true;
    }

    remove(connection: AcceptedConnection): void {
        this.connections.delete(connection);
        connection.account.close();
    }

    closeAll(reason: string): void {
        [...this.connections].forEach(connection => connection.close(reason));
    }

    /** Closes the most dispensable connection, of `address` if one is given; false when there is none. */
    private closeUnidentified(favoured: MemoryAccount, cause: RefusalCause, address: string | undefined): boolean {
        const connection = this.findDispensable(favoured, address);
        if (connection) {
            this.guard.report(cause, connection.address);
            connection.close("closed in favour of others, before it said who it is");
        }
        return connection !== undefined;
    }

    private findDispensable(favoured: MemoryAccount, address: string | undefined): AcceptedConnection | undefined {
        const oldest = new Map<string, { readonly connection: AcceptedConnection; count: number; }>();
        for (const connection of this.connections) {
            const isOfAddress = address === undefined || connection.address === address;
            if (isOfAddress && connection.account !== favoured && !connection.isIdentified()) {
                const present = oldest.get(connection.address) ?? { connection, count: 0 };
                present.count += 1;
                oldest.set(connection.address, present);
            }
        }
        return [...oldest.values()].sort((left, right) => right.count - left.count)[0]?.connection;
    }
}
