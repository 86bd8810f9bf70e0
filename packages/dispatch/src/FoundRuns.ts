/** Runs that workers list and that this owner did not start: they are assigned to their tasks, or stopped. */

import type { Timers } from "@anvilmux/common";
import { orphanGraceMs } from "./constants";
import type { JobTable } from "./JobTable";
import type { LiveRuns } from "./LiveRuns";
import type { Run } from "./RunTable";
import { markPlaced } from "./ScheduledJob";
import type { ScheduledJob, ScheduledTask } from "./ScheduledJob";
import { logSecondRun } from "./schedulerLog";
import type { SchedulerLogContext } from "./schedulerLog";
import type { WorkerSession } from "./WorkerSession";

export interface FoundRunsContext extends SchedulerLogContext {
    readonly timers: Timers;
}

export class FoundRuns {
    constructor(
        private readonly context: FoundRunsContext,
        private readonly jobs: JobTable,
        private readonly liveRuns: LiveRuns,
    ) {}

    /** Assigns a run that is already in progress to its task; false without one. */
    adopt(job: ScheduledJob, task: ScheduledTask): boolean {
        const session = this.liveRuns.get(task.request.name).find(worker =>
            isGoingOn(worker.getRun(task.request.name))
        );
        const run = session?.getRun(task.request.name);
        if (!session || !run || task.state !== "waiting") {
            return false;
        }
        session.setRequest(run, task.request);
        markPlaced(job, task, session, run.run, run.orderedAt);
        this.context.logger.info("run adopted", { job: job.request.id, task: run.task, run: run.run });
        return true;
    }

    /** Handles a run that was found in a worker's list. */
    handle(session: WorkerSession, run: Run): void {
        const other = this.liveRuns.get(run.task).find(worker =>
            worker !== session && isGoingOn(worker.getRun(run.task))
        );
        this.liveRuns.add(run.task, session);
        if (other) {
            const isOtherRunning = other.getRun(run.task)?.state === "running";
            const stopped = isOtherRunning ? session : other;
            logSecondRun(this.context, session, run, other, stopped);
            stopped.stop(run.task);
            return;
        }
        const owner = this.jobs.findTask(run.task);
        if (owner) {
            this.adopt(owner.job, owner.task);
            this.jobs.prune(owner.job);
            return;
        }
        this.context.timers.after(orphanGraceMs, () => {
            if (!this.jobs.findTask(run.task) && session.getRun(run.task) === run) {
                this.context.logger.info("stop ordered for a run without a job", {
                    task: run.task,
                    run: run.run,
                    worker: session.id,
                    ...session.describeRun(run),
                });
                session.stop(run.task);
            }
        });
    }
}

/** True for a run that is not being stopped. */
const isGoingOn = (run: Run | undefined): boolean => run !== undefined && run.stopOrderedAt === undefined;
