/**
 * The gradual return of a zone's workers after a restore: they may be cold, and a backlog of jobs must not start on all
 * of them in one round.
 */

import type { Milliseconds } from "@anvilmux/common";
import { restoreReturnMs } from "./constants";
import type { WorkerAnnouncement, WorkerId } from "./types";

/** Time after a restore at which worker `rank` of `count` is used again, from 0 on. */
export const getReturnDelay = (rank: number, count: number): Milliseconds => rank / count * restoreReturnMs;

/** The delay of each worker; those of one service return evenly over the whole time. */
export const getReturnDelays = (workers: readonly WorkerAnnouncement[]): ReadonlyMap<WorkerId, Milliseconds> => {
    const byService = new Map<string, WorkerId[]>();
    for (const { id, service } of workers) {
        const ofService = byService.get(service) ?? [];
        ofService.push(id);
        byService.set(service, ofService);
    }
    return new Map(
        [...byService.values()].flatMap(ids => ids.map((id, rank) => [id, getReturnDelay(rank, ids.length)] as const)),
    );
};
