/**
 * Ends the reading of clients' connections for the present turn of the event loop when one of them has too much input,
 * so that other work comes first. A piece of input can hold thousands of chunks, or of requests, which node:http keeps
 * until their closed connection is cleaned up; that is after all connections with input have been read.
 */

import type { ClientConnection } from "./Connections";

/** Very small chunks that are read in one turn; each takes about a microsecond. */
const maximumFragments = 2_048;

export class ReadingTurns {
    private readonly paused = new Set<ClientConnection>();
    private isReleaseDue = false;
    /** Very small chunks that were read in this turn, and the connections that they came on. */
    private fragments = 0;
    private readonly fragmented = new Set<ClientConnection>();

    /** Reads none of `connections` before the next turn. */
    end(connections: readonly ClientConnection[]): void {
        for (const connection of connections) {
            if (!connection.socket.isPaused()) {
                connection.socket.pause();
                connection.skippedTurns += 1;
                this.paused.add(connection);
            }
        }
        this.scheduleRelease();
    }

    /** Ends the turn for connections with very small chunks, and for no others, once there were many of them. */
    countFragments(connection: ClientConnection, chunks: number): void {
        this.fragments += chunks;
        this.fragmented.add(connection);
        this.scheduleRelease();
        if (this.fragments >= maximumFragments) {
            this.end([...this.fragmented]);
        }
    }

    private scheduleRelease(): void {
        if (!this.isReleaseDue) {
            this.isReleaseDue = true;
            setImmediate(this.release);
        }
    }

    private readonly release = (): void => {
        this.isReleaseDue = false;
        this.fragments = 0;
        this.fragmented.clear();
        // Connections with waiting requests are read in a turn without the others, which could make them wait for good.
        const awaited = [...this.paused].filter(connection => connection.waitingRequests > 0);
        const due = awaited.length > 0 ? awaited : [...this.paused];
        for (const connection of due) {
            this.paused.delete(connection);
            if (!connection.socket.destroyed) {
                connection.socket.resume();
            }
        }
        if (this.paused.size > 0) {
            this.scheduleRelease();
        }
    };
}
