/**
 * Tasks that may crash the workers that run them. When a worker crashes, each task that ran there is suspected, or only
 * those that were suspected before. Suspicion outlives the job, as its caller may submit it again.
 */

import type { Clock, Milliseconds } from "@anvilmux/common";
import { crashesToGiveUp, maximumSuspects, suspicionRetentionMs } from "./constants";
import type { TaskName } from "./types";

interface Suspicion {
    readonly crashes: number;
    readonly crashedAt: Milliseconds;
}

export class CrashSuspects {
    /** In order of the latest crash, so that the oldest are removed first. */
    private readonly suspicions = new Map<TaskName, Suspicion>();

    constructor(private readonly clock: Clock) {}

    recordCrash(running: readonly TaskName[]): void {
        const suspects = running.filter(task => this.isSuspect(task));
        (suspects.length > 0 ? suspects : running).forEach(task => this.suspect(task));
        this.removeOld();
    }

    isSuspect(task: TaskName): boolean {
        return this.suspicions.has(task);
    }

    /** True once so many workers crashed under the task that it is not started again. */
    isGivenUp(task: TaskName): boolean {
        return (this.suspicions.get(task)?.crashes ?? 0) >= crashesToGiveUp;
    }

    /** Ends the suspicion of a task that ran to its end. */
    clear(task: TaskName): void {
        this.suspicions.delete(task);
    }

    private suspect(task: TaskName): void {
        const crashes = (this.suspicions.get(task)?.crashes ?? 0) + 1;
        this.suspicions.delete(task);
        this.suspicions.set(task, { crashes, crashedAt: this.clock.now() });
    }

    private removeOld(): void {
        const oldest = this.clock.now() - suspicionRetentionMs;
        for (const [task, { crashedAt }] of this.suspicions) {
            if (crashedAt >= oldest && this.suspicions.size <= maximumSuspects) {
                return;
            }
            this.suspicions.delete(task);
        }
    }
}
