/**
 * Free resources of the workers, indexed by whole free processors, so that a placement examines a few candidates
 * instead of all workers. Workers with and without accelerators are indexed separately, so that tasks that need no
 * accelerator are placed on workers with accelerators only when no other candidate fits.
 */

import type { Random } from "@anvilmux/common";
import { placementSamples } from "./constants";

/** Total or free resources of a worker, or the demand of a task. */
export interface Resources {
    readonly processors: number;
    readonly memoryMebibytes: number;
    readonly accelerators: number;
}

export interface IndexedWorker {
    readonly id: string;
    readonly rack: string;
    readonly total: Resources;
    free: Resources;
    /** Position in its bucket, kept up to date by the index. */
    position: number;
    bucket: number;
    usable: boolean;
}

type Bucket = IndexedWorker[];

class BucketList {
    private readonly buckets: Bucket[] = [];
    private highest = -1;

    add(worker: IndexedWorker): void {
        const level = Math.max(0, Math.floor(worker.free.processors));
        while (this.buckets.length <= level) {
            this.buckets.push([]);
        }
        const bucket = this.buckets[level]!;
        worker.bucket = level;
        worker.position = bucket.length;
        bucket.push(worker);
        this.highest = Math.max(this.highest, level);
    }

    remove(worker: IndexedWorker): void {
        const bucket = this.buckets[worker.bucket]!;
        const last = bucket.pop()!;
        if (last !== worker) {
            bucket[worker.position] = last;
            last.position = worker.position;
        }
        while (this.highest >= 0 && this.buckets[this.highest]!.length === 0) {
            this.highest -= 1;
        }
    }

    /** A worker with enough free resources, from those with the most free processors. */
    find(needed: Resources, random: Random, accepts: (worker: IndexedWorker) => boolean): IndexedWorker | undefined {
        const lowest = Math.floor(needed.processors);
        let examined = 0;
        for (let level = this.highest; level >= lowest; level--) {
            const bucket = this.buckets[level]!;
            const start = bucket.length > 0 ? random.integer(bucket.length) : 0;
            for (let step = 0; step < bucket.length && examined < placementSamples; step++) {
                const worker = bucket[(start + step) % bucket.length]!;
                examined += 1;
                if (fits(worker.free, needed) && accepts(worker)) {
                    return worker;
                }
            }
        }
        return undefined;
    }
}

export class WorkerIndex {
    private readonly plain = new BucketList();
    private readonly accelerated = new BucketList();
    private readonly workers = new Map<string, IndexedWorker>();

    constructor(private readonly random: Random) {}

    get size(): number {
        return this.workers.size;
    }

    get(id: string): IndexedWorker | undefined {
        return this.workers.get(id);
    }

    getAll(): readonly IndexedWorker[] {
        return [...this.workers.values()];
    }

    add(id: string, rack: string, total: Resources): void {
        if (this.workers.has(id)) {
            return;
        }
        const worker: IndexedWorker = { id, rack, total, free: total, position: 0, bucket: 0, usable: true };
        this.workers.set(id, worker);
        this.getList(worker).add(worker);
    }

    remove(id: string): void {
        const worker = this.workers.get(id);
        if (worker) {
            this.workers.delete(id);
            if (worker.usable) {
                this.getList(worker).remove(worker);
            }
        }
    }

    /** Takes a worker out of placement or back in. */
    setUsable(id: string, usable: boolean): void {
        const worker = this.workers.get(id);
        if (!worker || worker.usable === usable) {
            return;
        }
        worker.usable = usable;
        if (usable) {
            this.getList(worker).add(worker);
        }
        else {
            this.getList(worker).remove(worker);
        }
    }

    /** Finds a worker for a task among those that `accepts` allows. */
    find(needed: Resources, accepts: (worker: IndexedWorker) => boolean = () => true): IndexedWorker | undefined {
        if (needed.accelerators > 0) {
            return this.accelerated.find(needed, this.random, accepts);
        }
        return this.plain.find(needed, this.random, accepts) ?? this.accelerated.find(needed, this.random, accepts);
    }

    /** Reserves resources of a worker, or releases them with `sign` -1. */
    use(id: string, needed: Resources, sign: 1 | -1 = 1): void {
        const worker = this.workers.get(id);
        if (!worker) {
            return;
        }
        const list = this.getList(worker);
        if (worker.usable) {
            list.remove(worker);
        }
        worker.free = {
            processors: worker.free.processors - sign * needed.processors,
            memoryMebibytes: worker.free.memoryMebibytes - sign * needed.memoryMebibytes,
            accelerators: worker.free.accelerators - sign * needed.accelerators,
        };
        if (worker.usable) {
            list.add(worker);
        }
    }

    private getList(worker: IndexedWorker): BucketList {
        return worker.total.accelerators > 0 ? this.accelerated : this.plain;
    }
}

/** True when `needed` can be taken from `available`. */
export const fits = (available: Resources, needed: Resources): boolean =>
    available.processors >= needed.processors
    && available.memoryMebibytes >= needed.memoryMebibytes
    && available.accelerators >= needed.accelerators;
