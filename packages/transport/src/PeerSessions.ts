/**
 * The HTTP/2 connections of a server for other instances. One without a request that has a valid secret makes room for
 * others, and is closed after a while.
 */

import type { Milliseconds, Timers } from "@anvilmux/common";
import { AcceptedConnections } from "@anvilmux/intake";
import type { AcceptedConnection, ConnectionGuard } from "@anvilmux/intake";
import type { Http2Session } from "node:http2";

/** Memory of a connection with its header tables and windows. */
const sessionBytes = 65_536;
/** Time within which a connection must have had a request with a valid secret. */
const identificationTimeoutMs: Milliseconds = 5_000;
/** Time in which the sender of a rejected request can read the answer. */
const lingerMs: Milliseconds = 500;

export class PeerSessions {
    private readonly accepted: AcceptedConnections;
    private readonly authenticated = new WeakSet<Http2Session>();

    constructor(private readonly guard: ConnectionGuard, private readonly timers: Timers) {
        this.accepted = new AcceptedConnections(guard);
    }

    add(session: Http2Session): void {
        const address = session.socket.remoteAddress ?? "";
        const isIdentified = () => this.authenticated.has(session);
        const connection: AcceptedConnection = {
            address,
            account: this.guard.budget.openAccount(address, sessionBytes),
            isIdentified,
            close: () => {
                this.accepted.remove(connection);
                session.destroy();
            },
        };
        session.on("error", () => undefined);
        if (!this.accepted.add(connection, sessionBytes)) {
            connection.close("");
            return;
        }
        const cancelTimeout = this.timers.after(identificationTimeoutMs, () => {
            if (!isIdentified()) {
                this.guard.report("unknown-peer", address);
                session.destroy();
            }
        });
        session.once("close", () => {
            cancelTimeout();
            this.accepted.remove(connection);
        });
    }

    recordAuthenticated(session: Http2Session | undefined): void {
        if (session) {
            this.authenticated.add(session);
        }
    }

    /** Closes the connection of a rejected request, unless an instance uses it. */
    recordRejected(session: Http2Session | undefined): void {
        if (session && !session.destroyed && !this.authenticated.has(session)) {
            this.guard.report("unknown-peer", session.socket.remoteAddress ?? "");
            this.timers.after(lingerMs, () => session.destroy());
        }
    }
}
