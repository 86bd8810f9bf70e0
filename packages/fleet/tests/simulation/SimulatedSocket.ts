/** TCP sockets on virtual time between simulated machines, with latency, partitions, and peers that vanish silently. */

import type { VirtualTime } from "@anvilmux/common";
import { EventEmitter } from "node:events";
import type { Socket } from "node:net";

/** The state of the network between two machines, and of the machines themselves. */
export interface NetworkState {
    /** False while packets between the machines are lost; TCP sends them again later. */
    readonly isConnected: (one: string, other: string) => boolean;
    /** False while the machine has no power or its process does not run. */
    readonly isRunning: (machine: string) => boolean;
}

const latencyMs = 1;
/** Time after which lost packets are sent again. */
const retransmissionMs = 40;

export class SimulatedSocket extends EventEmitter {
    readonly writableLength = 0;
    remote: SimulatedSocket | undefined;
    /** The connection has gone silent: nothing is delivered, and no end is told. */
    isSilent = false;
    private destroyed = false;
    /** Packets arrive in the order in which they were sent. */
    private readonly arriving: (() => void)[] = [];

    constructor(readonly machine: string, private readonly time: VirtualTime, private readonly network: NetworkState) {
        super();
    }

    setNoDelay(): void {}

    write(text: string): boolean {
        if (!this.destroyed) {
            this.remote?.deliver(remote => remote.emit("data", Buffer.from(text)));
        }
        return true;
    }

    destroy(): void {
        if (!this.destroyed) {
            this.destroyed = true;
            this.remote?.deliver(remote => remote.close());
        }
    }

    /** The machine loses power: the other end is not told. */
    vanish(): void {
        this.destroyed = true;
    }

    private close(): void {
        this.destroyed = true;
        this.emit("close");
    }

    private deliver(event: (socket: SimulatedSocket) => void): void {
        this.arriving.push(() => event(this));
        this.time.after(latencyMs, () => this.deliverNext());
    }

    private deliverNext(): void {
        if (this.destroyed || this.isSilent) {
            return;
        }
        if (!this.network.isRunning(this.machine) || !this.network.isConnected(this.machine, this.remote!.machine)) {
            this.time.after(retransmissionMs, () => this.deliverNext());
            return;
        }
        this.arriving.shift()?.();
    }
}

export const asSocket = (socket: SimulatedSocket): Socket => socket as unknown as Socket;
