/**
 * A TCP forwarder on loopback before one listener, through which faults of the network are played. Bytes and ends of
 * connections that are held stay where they are, and arrive in their order once the fault is over.
 */

import type { Address, Milliseconds } from "@anvilmux/common";
import { splitAddress } from "@anvilmux/common";
import { connect, createServer } from "node:net";
import type { Server, Socket } from "node:net";
import type { NetworkFault } from "./types";

/** A fault while it lasts, and the connections that it is about. */
export interface ActiveFault {
    readonly fault: NetworkFault;
    /** False for connections between other parties. */
    readonly appliesTo: (connection: ForwardedConnection) => boolean;
}

export interface ForwarderOptions {
    readonly name: string;
    readonly from: Address;
    readonly to: Address;
    /** The program that opened the connection with this local port; undefined when it cannot be told. */
    readonly findSource: (port: number, forwarderPort: number) => string | undefined;
}

export class Forwarder {
    private readonly server: Server;
    private readonly connections = new Set<ForwardedConnection>();
    private readonly faults = new Set<ActiveFault>();

    constructor(private readonly options: ForwarderOptions) {
        this.server = createServer({ allowHalfOpen: true, pauseOnConnect: true }, socket => this.accept(socket));
    }

    async listen(): Promise<void> {
        const { host, port } = splitAddress(this.options.from);
        await new Promise<void>((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen(port, host, resolve);
        });
    }

    close(): void {
        this.server.close();
        this.connections.forEach(connection => connection.destroy());
    }

    begin(active: ActiveFault): void {
        const affected = [...this.connections].filter(connection => active.appliesTo(connection));
        switch (active.fault.kind) {
            case "reset":
                affected.forEach(connection => connection.destroy());
                return;
            case "silence":
                affected.forEach(connection => connection.silence());
                return;
            default:
                this.faults.add(active);
                affected.forEach(connection => this.update(connection));
        }
    }

    end(active: ActiveFault): void {
        this.faults.delete(active);
        this.connections.forEach(connection => this.update(connection));
    }

    private accept(socket: Socket): void {
        const { name, to, findSource } = this.options;
        const { remotePort = 0, localPort = 0 } = socket;
        const connection = new ForwardedConnection(
            name,
            socket,
            connect({ ...splitAddress(to), allowHalfOpen: true }),
            () => findSource(remotePort, localPort),
        );
        this.connections.add(connection);
        connection.onClose(() => this.connections.delete(connection));
        this.update(connection);
    }

    private update(connection: ForwardedConnection): void {
        const faults = [...this.faults].filter(({ appliesTo }) => appliesTo(connection)).map(({ fault }) => fault);
        const holds = (direction: string) =>
            faults.some(fault =>
                fault.kind === "hold" && (fault.direction === "both" || fault.direction === direction)
            );
        const delayMs = Math.max(0, ...faults.map(fault => fault.kind === "delay" ? fault.delayMs : 0));
        connection.forward.set(holds("forward"), delayMs);
        connection.backward.set(holds("backward"), delayMs);
    }
}

export class ForwardedConnection {
    readonly forward: ByteFlow;
    readonly backward: ByteFlow;
    private foundSource: { readonly name: string | undefined; } | undefined;

    constructor(
        readonly target: string,
        private readonly near: Socket,
        private readonly far: Socket,
        private readonly findSource: () => string | undefined,
    ) {
        near.setNoDelay(true);
        far.setNoDelay(true);
        this.forward = new ByteFlow(near, far);
        this.backward = new ByteFlow(far, near);
        near.on("error", () => this.destroy());
        far.on("error", () => this.destroy());
    }

    /** The program that opened the connection; looked for only where a fault depends on it. */
    get source(): string | undefined {
        this.foundSource ??= { name: this.findSource() };
        return this.foundSource.name;
    }

    onClose(listener: () => void): void {
        this.near.once("close", listener);
    }

    silence(): void {
        this.forward.silence();
        this.backward.silence();
    }

    destroy(): void {
        this.near.destroy();
        this.far.destroy();
    }
}

/** One direction of a connection. */
class ByteFlow {
    private isHeld = false;
    private isSilent = false;
    private delayMs: Milliseconds = 0;
    /** What is on its way, in its order, with the time from which it may arrive. */
    private readonly underway: { readonly arrivesAt: Milliseconds; readonly step: () => void; }[] = [];

    constructor(private readonly from: Socket, private readonly to: Socket) {
        from.on("data", bytes => this.pass(() => this.to.write(bytes)));
        from.on("end", () => this.pass(() => this.to.end()));
        from.on("close", () => this.pass(() => this.to.end()));
    }

    set(isHeld: boolean, delayMs: Milliseconds): void {
        this.isHeld = isHeld;
        this.delayMs = delayMs;
        this.update();
    }

    silence(): void {
        this.isSilent = true;
        this.update();
    }

    private update(): void {
        if (this.isHeld || this.isSilent) {
            this.from.pause();
        }
        else {
            this.from.resume();
        }
    }

    private pass(step: () => void): void {
        this.underway.push({ arrivesAt: performance.now() + this.delayMs, step });
        if (this.underway.length === 1) {
            this.deliver();
        }
    }

    private deliver(): void {
        for (let next = this.underway[0]; next; next = this.underway[0]) {
            const waitMs = next.arrivesAt - performance.now();
            if (waitMs > 0) {
                setTimeout(() => this.deliver(), waitMs);
                return;
            }
            next.step();
            this.underway.shift();
        }
    }
}
