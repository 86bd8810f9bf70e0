/** What an entry has to call workers: the owner's relayed calls, its own relay, and channels to the other relays. */

import type { Milliseconds, VirtualTime } from "@anvilmux/common";
import { toAddress } from "@anvilmux/common";
import { maximumDirectWorkers, RelayedWorkers, toWorkerId, WorkerRelay } from "@anvilmux/dispatch";
import type { ConnectWorker, NumberedWorkerCall } from "@anvilmux/dispatch";
import { Metrics } from "@anvilmux/telemetry";
import type { Logger } from "@anvilmux/telemetry";
import { FifoChannel } from "./FifoChannel";
import type { StallingTimers } from "./StallingTimers";
import type { WorkerNetwork } from "./WorkerNetwork";

export interface RelayStationOptions {
    readonly id: string;
    readonly time: VirtualTime;
    readonly timers: StallingTimers;
    readonly network: WorkerNetwork;
    readonly getStations: () => readonly RelayStation[];
    readonly drawLatency: () => Milliseconds;
    readonly logger: Logger;
}

interface RelayConnection {
    readonly there: FifoChannel;
    readonly back: FifoChannel;
}

export class RelayStation {
    readonly id: string;
    /** Until then, messages to and from this relay take `slowFactor` times as long. */
    slowUntil: Milliseconds = 0;
    private readonly relay: WorkerRelay;
    private readonly relayedWorkers: RelayedWorkers;
    private readonly connections = new Map<RelayStation, RelayConnection>();
    private readonly disconnected = new Set<RelayStation>();

    constructor(private readonly options: RelayStationOptions) {
        const { id, time, timers, network, logger } = options;
        const connect: ConnectWorker = target => network.connect({ id, timers }, target);
        this.id = id;
        this.relay = new WorkerRelay({ connect, clock: time, timers });
        this.relayedWorkers = new RelayedWorkers({
            connect,
            getRelays: () => this.getRelays().map(relay => relay.id),
            send: (relay, call) => this.send(relay, call),
            clock: time,
            timers,
            logger,
            metrics: new Metrics(),
        });
        // Workers that are never called, so that there are enough for relays.
        for (let number = 1; number <= maximumDirectWorkers; number++) {
            this.connect({ id: toWorkerId(`idle-${number}`), address: toAddress("127.0.0.1:1") });
        }
    }

    readonly connect: ConnectWorker = target => this.relayedWorkers.connect(target);

    /** Closes the connection to a relay for a while; messages on their way are lost. */
    disconnect(other: RelayStation, lengthMs: Milliseconds): void {
        const connection = this.connections.get(other);
        connection?.there.close();
        connection?.back.close();
        this.connections.delete(other);
        this.disconnected.add(other);
        this.options.timers.after(0, () => this.relayedWorkers.handleDisconnected(other.id));
        this.options.timers.after(lengthMs, () => {
            this.disconnected.delete(other);
            this.relayedWorkers.handleRelaysChanged();
        });
    }

    private getRelays(): readonly RelayStation[] {
        return this.options.getStations().filter(station => station !== this && !this.disconnected.has(station));
    }

    private send(id: string, call: NumberedWorkerCall): boolean {
        const relay = this.getRelays().find(station => station.id === id);
        if (!relay) {
            return false;
        }
        const { there, back } = this.getConnection(relay);
        return there.send(() =>
            void relay.relay.handle(
                call,
                answer => void back.send(() => this.relayedWorkers.handleAnswer(call.number, answer)),
            )
        );
    }

    private getConnection(relay: RelayStation): RelayConnection {
        const present = this.connections.get(relay);
        if (present) {
            return present;
        }
        const { time, drawLatency, timers } = this.options;
        const drawRelayLatency = () => drawLatency() * (time.now() < relay.slowUntil ? slowFactor : 1);
        const connection: RelayConnection = {
            there: new FifoChannel({
                time,
                drawLatency: drawRelayLatency,
                getStallEnd: () => relay.options.timers.stalledUntil,
            }),
            back: new FifoChannel({ time, drawLatency: drawRelayLatency, getStallEnd: () => timers.stalledUntil }),
        };
        this.connections.set(relay, connection);
        return connection;
    }
}

/** How many times as long messages to and from a slow relay take. */
const slowFactor = 40;
