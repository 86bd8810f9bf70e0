/**
 * Tasks that may crash the workers that run them. When a worker crashes, each task that ran there is suspected, or only
 * those that were suspected before. Suspicion outlives the job, as its caller may submit it again.
 */

import type { Clock } from "@anvilmux/common";
import { crashesToGiveUp, maximumSuspects, suspicionRetentionMs } from "./constants";
import { RecentMap } from "./RecentMap";
import type { TaskName } from "./types";

export class CrashSuspects {
    /** Number of workers that crashed under a task. */
    private readonly crashes: RecentMap<TaskName, number>;

    constructor(clock: Clock) {
        this.crashes = new RecentMap(clock, suspicionRetentionMs, maximumSuspects);
    }

    recordCrash(running: readonly TaskName[]): void {
        const suspects = running.filter(task => this.isSuspect(task));
        for (const task of suspects.length > 0 ? suspects : running) {
            this.crashes.set(task, this.count(task) + 1);
        }
    }

    isSuspect(task: TaskName): boolean {
        return this.count(task) > 0;
    }

    /** True once so many workers crashed under the task that it is not started again. */
    isGivenUp(task: TaskName): boolean {
        return this.count(task) >= crashesToGiveUp;
    }

    /** Ends the suspicion of a task that ran to its end. */
    clear(task: TaskName): void {
        this.crashes.delete(task);
    }

    private count(task: TaskName): number {
        return this.crashes.get(task) ?? 0;
    }
}
