/**
 * Makes calls to workers for the owner of the zone's workers. The answer of each call goes back to the owner that asked
 * for it; connections to workers are kept while they are used.
 */

import type { Clock, Milliseconds, Timers, Unsubscribe } from "@anvilmux/common";
import { relayedDriverRetentionMs } from "./constants";
import type { ConnectWorker, WorkerDriver, WorkerTarget } from "./types";
import { makeWorkerCall } from "./workerCalls";
import type { NumberedWorkerCall, WorkerCallAnswer } from "./workerCalls";

export interface WorkerRelayOptions {
    readonly connect: ConnectWorker;
    readonly clock: Clock;
    readonly timers: Timers;
}

/** Workers to which connections are kept; several times those of the largest zone. */
const maximumDrivers = 1_000;

interface RelayedDriver {
    readonly driver: WorkerDriver;
    openCalls: number;
    usedAt: Milliseconds;
}

export class WorkerRelay {
    private readonly drivers = new Map<string, RelayedDriver>();
    private readonly unsubscribe: Unsubscribe;

    constructor(private readonly options: WorkerRelayOptions) {
        this.unsubscribe = options.timers.every(relayedDriverRetentionMs, () => this.closeUnused());
    }

    /** Makes a call and passes its answer to `reply`. */
    async handle({ worker, call }: NumberedWorkerCall, reply: (answer: WorkerCallAnswer) => void): Promise<void> {
        const relayed = this.findDriver(worker);
        if (!relayed) {
            reply(call.kind === "stop" ? false : { kind: "unanswered", reason: "the relay has too many workers" });
            return;
        }
        relayed.openCalls += 1;
        const answer = await makeWorkerCall(relayed.driver, call);
        relayed.openCalls -= 1;
        relayed.usedAt = this.options.clock.now();
        reply(answer);
    }

    stop(): void {
        this.unsubscribe();
        this.drivers.forEach(relayed => relayed.driver.close());
        this.drivers.clear();
    }

    /** Undefined when there are too many others, which are in use or were a short time ago. */
    private findDriver(worker: WorkerTarget): RelayedDriver | undefined {
        const key = `${worker.id} ${worker.address}`;
        let relayed = this.drivers.get(key);
        if (!relayed && this.drivers.size < maximumDrivers) {
            relayed = { driver: this.options.connect(worker), openCalls: 0, usedAt: this.options.clock.now() };
            this.drivers.set(key, relayed);
        }
        return relayed;
    }

    private closeUnused(): void {
        const unusedSince = this.options.clock.now() - relayedDriverRetentionMs;
        for (const [key, relayed] of this.drivers) {
            if (relayed.openCalls === 0 && relayed.usedAt < unusedSince) {
                relayed.driver.close();
                this.drivers.delete(key);
            }
        }
    }
}
