/** Peers of tests that send raw lines over TCP, and answer probes. */

import { connect, createServer } from "node:net";
import type { Socket } from "node:net";

export type Cleanups = (() => void)[];

export class RawPeer {
    closed = false;
    /** Lines that were received, probes among them. */
    readonly received: string[] = [];

    constructor(private readonly socket: Socket) {
        socket.on("data", data => this.receive(String(data).split("\n")));
        socket.on("error", () => undefined);
        socket.on("close", () => this.closed = true);
    }

    send(...lines: readonly string[]): void {
        this.socket.write(lines.map(line => `${line}\n`).join(""));
    }

    close(): void {
        this.socket.destroy();
    }

    private receive(lines: readonly string[]): void {
        this.received.push(...lines);
        lines.filter(line => line === "?").forEach(() => this.send(""));
    }
}

export const dialRaw = (port: number, cleanups: Cleanups): RawPeer => {
    const peer = new RawPeer(connect(port, "127.0.0.1"));
    cleanups.push(() => peer.close());
    return peer;
};

/** A server whose connections are raw peers, the latest last. */
export const listenRaw = async (port: number, cleanups: Cleanups): Promise<readonly RawPeer[]> => {
    const peers: RawPeer[] = [];
    const server = createServer(socket => peers.push(new RawPeer(socket)));
    cleanups.push(() => server.close(), () => peers.forEach(peer => peer.close()));
    await new Promise<void>(resolve => server.listen(port, "127.0.0.1", resolve));
    return peers;
};
