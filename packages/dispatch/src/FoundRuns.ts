/**
 * Runs that workers list and that this owner did not start: they are assigned to their tasks, or stopped once no entry
 * can be about to submit their jobs.
 */

import type { Milliseconds } from "@anvilmux/common";
import { orphanGraceMs, sharedWorkerGraceMs } from "./constants";
import type { JobTable } from "./JobTable";
import type { LiveRuns } from "./LiveRuns";
import type { Run } from "./RunTable";
import { markPlaced } from "./ScheduledJob";
import type { ScheduledJob, ScheduledTask } from "./ScheduledJob";
import { logSecondRun } from "./schedulerLog";
import type { SchedulerLogContext } from "./schedulerLog";
import type { HandoverState } from "./types";
import type { WorkerSession } from "./WorkerSession";

export interface FoundRunsContext extends SchedulerLogContext {
    /** How far the entries have submitted their jobs to this owner; unknown when absent. */
    readonly getHandover?: () => HandoverState;
}

interface RunWithoutJob {
    readonly session: WorkerSession;
    readonly run: Run;
    readonly foundAt: Milliseconds;
}

export class FoundRuns {
    private withoutJob: RunWithoutJob[] = [];

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
        this.withoutJob.push({ session, run, foundAt: this.context.clock.now() });
    }

    /** Stops the runs that no entry can be about to submit a job for; to be called at short intervals. */
    review(): void {
        if (this.withoutJob.length === 0) {
            return;
        }
        const handover = this.context.getHandover?.() ?? "in-progress";
        this.withoutJob = this.withoutJob.filter(isUnassigned);
        const counts = countBySession(this.withoutJob);
        for (const found of this.withoutJob) {
            const { session, run, foundAt } = found;
            const isShared = session.runCount > counts.get(session)!;
            const isOverdue = this.context.clock.now() - foundAt >= getGrace(handover, isShared);
            if (isOverdue && !this.jobs.findTask(run.task)) {
                this.stop(found, handover);
            }
        }
    }

    private stop({ session, run }: RunWithoutJob, handover: HandoverState): void {
        this.context.logger.info("stop ordered for a run without a job", {
            task: run.task,
            run: run.run,
            worker: session.id,
            handover,
            ...session.describeRun(run),
        });
        session.stop(run.task);
    }
}

/** False once the run has ended, belongs to a job, or is being stopped. */
const isUnassigned = ({ session, run }: RunWithoutJob): boolean =>
    session.getRun(run.task) === run && run.request === undefined && isGoingOn(run);

const countBySession = (found: readonly RunWithoutJob[]): ReadonlyMap<WorkerSession, number> => {
    const counts = new Map<WorkerSession, number>();
    found.forEach(({ session }) => counts.set(session, (counts.get(session) ?? 0) + 1));
    return counts;
};

/** Time for which a run without a job is kept. `isShared`: its worker also runs tasks of jobs that are known. */
const getGrace = (handover: HandoverState, isShared: boolean): Milliseconds => {
    if (handover === "complete") {
        return 0;
    }
    return handover === "connected" && isShared ? sharedWorkerGraceMs : orphanGraceMs;
};

/** True for a run that is not being stopped. */
const isGoingOn = (run: Run | undefined): boolean => run !== undefined && run.stopOrderedAt === undefined;
