/** The workers of a play: stand-ins that announce themselves to control, and the faults that they meet. */

import { splitAddress } from "@anvilmux/common";
import type { Address, Milliseconds } from "@anvilmux/common";
import { announceWorker, StandInWorker } from "@anvilmux/platform";
import { draw } from "./draw";
import { service, workerMillicores, workerZones } from "./layout";
import type { PlayParts } from "./PlayParts";

interface PlacedWorker {
    readonly zone: string;
    readonly worker: StandInWorker;
    readonly address: Address;
    announcements: number;
}

interface LateOrders {
    readonly zone: string;
    readonly share: number;
    readonly delayMs: Milliseconds;
}

const announcementPeriodMs: Milliseconds = 1_500;
const leaseCheckPeriodMs: Milliseconds = 5;
const stopMs: Milliseconds = 30;

export class Workers {
    private readonly placed: (PlacedWorker | undefined)[] = [];
    private readonly lateOrders = new Set<LateOrders>();
    private readonly timers: readonly NodeJS.Timeout[];
    private count = 0;

    constructor(private readonly parts: PlayParts) {
        this.timers = [
            setInterval(() => this.placed.forEach(item => item?.worker.endExpiredRuns()), leaseCheckPeriodMs),
            setInterval(() => this.placed.forEach(item => item && void this.announce(item)), announcementPeriodMs),
        ];
    }

    async start(): Promise<void> {
        await Promise.all(workerZones.map((_, index) => this.add(index)));
    }

    close(): void {
        this.timers.forEach(timer => clearInterval(timer));
        this.placed.forEach(item => item?.worker.close());
    }

    beginLateOrders(orders: LateOrders): void {
        this.lateOrders.add(orders);
    }

    endLateOrders(orders: LateOrders): void {
        this.lateOrders.delete(orders);
    }

    hold(indices: readonly number[]): void {
        indices.forEach(index => this.placed[index]?.worker.hold());
    }

    release(indices: readonly number[]): void {
        indices.forEach(index => this.placed[index]?.worker.release());
    }

    crash(index: number): void {
        this.placed[index]?.worker.close();
        this.placed[index] = undefined;
    }

    /** Adds a worker with a new id and address where none is. */
    async add(index: number): Promise<void> {
        if (this.placed[index]) {
            return;
        }
        const zone = workerZones[index]!;
        const number = this.count;
        this.count += 1;
        const id = `worker-${number}`;
        const { checker, deployment, log } = this.parts;
        const worker = new StandInWorker({
            id,
            millicores: workerMillicores,
            ...splitAddress(deployment.getWorkerAddress(number)),
            stopMs,
            getOrderDelay: () => this.drawOrderDelay(zone),
            onStart: ({ task, run }) => {
                log(`${id} starts ${task} run ${run}`);
                checker.handleStart(task, id, zone);
            },
            onEnd: ({ task, run }, how) => {
                log(`${id} ends ${task} run ${run} ${how}`);
                checker.handleEnd(task, id, how === "done");
            },
        });
        const item: PlacedWorker = { zone, worker, address: await worker.listen(), announcements: 0 };
        this.placed[index] = item;
        await this.announce(item);
    }

    private async announce(item: PlacedWorker): Promise<void> {
        const { deployment, random } = this.parts;
        const control = draw(random, [...deployment.controlAddresses.values()]);
        item.announcements += 1;
        const { zone, worker, address, announcements: sequence } = item;
        await announceWorker(control, {
            id: worker.id,
            address,
            zone,
            service,
            millicores: workerMillicores,
            born: worker.born,
            sequence,
        });
    }

    private drawOrderDelay(zone: string): Milliseconds {
        const { random } = this.parts;
        const orders = [...this.lateOrders].find(item => item.zone === zone && random.next() < item.share);
        return orders ? orders.delayMs * random.next() : 0;
    }
}
