/**
 * Tasks that may crash the workers that run them. When a worker crashes, each task that ran there is suspected, or only
 * those that were suspected before. Suspicion outlives the job, as its caller may submit it again.
 *
 * A task is not started again after its second crash. Workers also crash for reasons of their own, many at once, and
 * behind a cut that refuses connections they only seem to: the job has failed only if no worker without the task crashed
 * at about the same time, and its outcome is unknown otherwise.
 */

import type { Clock, Milliseconds } from "@anvilmux/common";
import { crashCoincidenceMs, crashesToGiveUp, maximumSuspects, suspicionRetentionMs } from "./constants";
import { RecentMap } from "./RecentMap";
import type { JobAnswer, TaskName, TaskRequest } from "./types";

interface Crash {
    /** When it became known. */
    readonly at: Milliseconds;
    readonly suspects: ReadonlySet<TaskName>;
}

export class CrashSuspects {
    /** The crashes for which a task is suspected. */
    private readonly crashesOfTasks: RecentMap<TaskName, readonly Crash[]>;
    private readonly allCrashes: RecentMap<Crash, Crash>;

    constructor(private readonly clock: Clock) {
        this.crashesOfTasks = new RecentMap(clock, suspicionRetentionMs, maximumSuspects);
        this.allCrashes = new RecentMap(clock, suspicionRetentionMs, maximumSuspects);
    }

    recordCrash(running: readonly TaskName[]): void {
        const known = running.filter(task => this.isSuspect(task));
        const suspects = known.length > 0 ? known : running;
        const crash: Crash = { at: this.clock.now(), suspects: new Set(suspects) };
        this.allCrashes.set(crash, crash);
        suspects.forEach(task => this.crashesOfTasks.set(task, [...this.getCrashes(task), crash]));
    }

    isSuspect(task: TaskName): boolean {
        return this.getCrashes(task).length > 0;
    }

    /** True once so many workers crashed under the task that it is not started again. */
    isGivenUp(task: TaskName): boolean {
        return this.getCrashes(task).length >= crashesToGiveUp;
    }

    /** The answer to a job with a task that is given up; undefined without one. */
    findAnswer(tasks: readonly TaskRequest[]): JobAnswer | undefined {
        const givenUp = tasks.map(({ name }) => name).filter(task => this.isGivenUp(task));
        const task = givenUp.find(candidate => !this.isInDoubt(candidate)) ?? givenUp[0];
        if (task === undefined) {
            return undefined;
        }
        const reason = `${crashesToGiveUp} workers crashed while they ran task ${task}`;
        return this.isInDoubt(task)
            ? { kind: "unknown", reason: `${reason}, and others at about the same time` }
            : { kind: "failed", reason };
    }

    /** Ends the suspicion of a task that ran to its end. */
    clear(task: TaskName): void {
        this.crashesOfTasks.delete(task);
    }

    private getCrashes(task: TaskName): readonly Crash[] {
        return this.crashesOfTasks.get(task) ?? [];
    }

    /** True when a worker for whose crash the task is not suspected crashed at about the time of one of its own crashes. */
    private isInDoubt(task: TaskName): boolean {
        const others = this.allCrashes.getValues().filter(({ suspects }) => !suspects.has(task));
        return this.getCrashes(task).some(({ at }) =>
            others.some(other => Math.abs(other.at - at) <= crashCoincidenceMs)
        );
    }
}
