/** Places single tasks on workers and orders their start. */

import type { CrashSuspects } from "./CrashSuspects";
import type { LiveRuns } from "./LiveRuns";
import type { OverloadControl } from "./OverloadControl";
import type { OwnedWorkers } from "./OwnedWorkers";
import { getLowestRunNumber } from "./runNumbers";
import { markPlaced } from "./ScheduledJob";
import type { ScheduledJob, ScheduledTask } from "./ScheduledJob";
import { logPlacement } from "./schedulerLog";
import type { SchedulerLogContext } from "./schedulerLog";
import type { WorkerSession } from "./WorkerSession";

export class TaskPlacer {
    constructor(
        private readonly context: SchedulerLogContext,
        private readonly workers: OwnedWorkers,
        private readonly suspects: CrashSuspects,
        private readonly liveRuns: LiveRuns,
        private readonly overload: OverloadControl,
    ) {}

    /** False when the task may still run somewhere, or when no usable worker has capacity for it. */
    place(job: ScheduledJob, task: ScheduledTask): boolean {
        const { request } = task;
        if (this.liveRuns.has(request.name)) {
            return false;
        }
        const session = this.workers.choose(
            job.request.service,
            request,
            this.getAvoided(job, task),
            this.overload.getPenaltyFor(job),
        );
        if (!session) {
            return false;
        }
        const { clock } = this.context;
        const run = Math.max(task.lastRun + 1, getLowestRunNumber(clock.wallNow()));
        markPlaced(job, task, session, run, clock.now());
        this.liveRuns.add(request.name, session);
        this.overload.recordPlacement(job);
        logPlacement(this.context, job, task, session);
        session.start(request, run, job.request.payload);
        return true;
    }

    /** True for a waiting task that may run in another zone; a suspected one must not crash workers there, too. */
    maySpill({ state, request }: ScheduledTask): boolean {
        return state === "waiting" && !this.liveRuns.has(request.name) && !this.suspects.isSuspect(request.name);
    }

    hasLiveRuns(job: ScheduledJob): boolean {
        return job.tasks.some(task => this.liveRuns.has(task.request.name));
    }

    /** A suspected task runs alone where it can, so that a crash harms no other and shows whether it is the cause. */
    private getAvoided(job: ScheduledJob, { request, avoided }: ScheduledTask): readonly WorkerSession[] {
        return this.suspects.isSuspect(request.name)
            ? [...avoided, ...this.workers.getBusy(job.request.service)]
            : avoided;
    }
}
