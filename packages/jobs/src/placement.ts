/** Placement policies: the default and the baselines that benches compare it with. */

import { pickOne } from "@anvilmux/common";
import type { Random } from "@anvilmux/common";
import { fits } from "./WorkerIndex";
import type { IndexedWorker, Resources, WorkerIndex } from "./WorkerIndex";

/** Chooses a worker for a task; undefined when the task has to wait. */
export type PlaceTask = (index: WorkerIndex, needed: Resources) => IndexedWorker | undefined;

export const placementNames = ["free-processors", "random", "round-robin", "single-fifo"] as const;

export type PlacementName = typeof placementNames[number];

/** The worker with the most free processors among a few candidates. */
export const placeByFreeProcessors: PlaceTask = (index, needed) => index.find(needed);

/** A random worker; the task waits when that worker has too few free resources. */
export const newRandomPlacement = (random: Random): PlaceTask => (index, needed) => {
    const worker = pickOne(random, index.getAll().filter(candidate => candidate.usable));
    return worker && fits(worker.free, needed) ? worker : undefined;
};

/** The workers in turn; the task waits when the next one has too few free resources. */
export const newRoundRobinPlacement = (): PlaceTask => {
    let next = 0;
    return (index, needed) => {
        const workers = index.getAll().filter(candidate => candidate.usable);
        const worker = workers[next++ % Math.max(1, workers.length)];
        return worker && fits(worker.free, needed) ? worker : undefined;
    };
};
