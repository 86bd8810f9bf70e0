/** A job and its tasks as the owner of a zone's workers schedules them. */

import type { Milliseconds } from "@anvilmux/common";
import { runTimeMargin, takeoverUncertaintyMs } from "./constants";
import type { JobAnswer, JobRequest, JobSubmitter, TaskRequest } from "./types";
import type { WorkerSession } from "./WorkerSession";

export interface ScheduledTask {
    readonly request: TaskRequest;
    /** `away`: forwarded to another zone. */
    state: "waiting" | "placed" | "away" | "done";
    failures: number;
    /** Number of the last run that was ordered. */
    lastRun: number;
    session: WorkerSession | undefined;
    placedAt: Milliseconds;
    /** Workers on which a run failed, was stopped or never started; others are tried first. */
    readonly avoided: WorkerSession[];
}

/** When a job should start and end. */
export type JobTimes = Pick<ScheduledJob, "runMs" | "startBy" | "servedBy" | "endBy" | "abortAfter">;

/** Tasks that were forwarded to another zone together. */
export interface RemoteTasks {
    /** Number under which they were forwarded; their answer names it. */
    readonly submission: number;
    readonly tasks: readonly ScheduledTask[];
}

export interface ScheduledJob {
    /** As submitted last; a job that returns may have had runs at another owner meanwhile. */
    request: JobRequest;
    readonly receivedAt: Milliseconds;
    /** Expected run time of its longest task on a worker of ordinary speed. */
    readonly runMs: Milliseconds;
    /** Latest time at which its tasks should start. */
    readonly startBy: Milliseconds;
    /**
     * Jobs with the earliest of these times are served first: `startBy`, moved by the priority under overload control.
     */
    readonly servedBy: Milliseconds;
    /** Latest time at which it should end. */
    readonly endBy: Milliseconds;
    /** Time after which it is given up unless a task of it was started. */
    abortAfter: Milliseconds;
    readonly tasks: readonly ScheduledTask[];
    /** Tasks that are neither placed nor forwarded nor done. */
    waiting: number;
    done: number;
    /** Tasks placed or forwarded so far, repeats included; a job with none can be refused. */
    started: number;
    submitter: JobSubmitter;
    /** False while the submitter is disconnected, or may have given the job up; none of its tasks is started. */
    isSubmitterPresent: boolean;
    /** Whether the submitter acknowledged that tasks may run in other zones; none is forwarded before that. */
    remoteAcknowledgement: "no" | "asked" | "yes";
    /** Tasks forwarded to other zones, by zone. */
    readonly remoteTasks: Map<string, RemoteTasks>;
    /** True while it is with another owner; none of its tasks is started. */
    withdrawn: boolean;
    /** True once it was answered or cancelled. */
    closed: boolean;
    /** Releases the memory that is held for it. */
    releaseMemory: () => void;
    /** Until then, tasks that a former owner forwarded to another zone may run there. */
    mayRunElsewhereUntil: Milliseconds;
}

/** Callbacks for the end of a task's run, here or in another zone. */
export interface TaskEvents {
    readonly onDone: (job: ScheduledJob, task: ScheduledTask) => void;
    /** The task has no run and is queued again. */
    readonly onRequeue: (job: ScheduledJob, task: ScheduledTask) => void;
    readonly onFinish: (job: ScheduledJob, answer: JobAnswer) => void;
}

/** The estimate of the longest task of a job. */
export const getLongestEstimate = (request: JobRequest): Milliseconds =>
    Math.max(...request.tasks.map(task => task.estimateMs));

/** Times by the caller's estimate alone: a job that has not started by the latest time is given up. */
export const getTimesByEstimate = (request: JobRequest, receivedAt: Milliseconds): JobTimes => {
    const runMs = getLongestEstimate(request);
    const startBy = receivedAt + Math.max(0, request.objectiveMs - runTimeMargin * runMs);
    return { runMs, startBy, servedBy: startBy, endBy: receivedAt + request.objectiveMs, abortAfter: startBy };
};

export const newScheduledJob = (
    request: JobRequest,
    submitter: JobSubmitter,
    receivedAt: Milliseconds,
    times: JobTimes = getTimesByEstimate(request, receivedAt),
): ScheduledJob => ({
    ...times,
    request,
    receivedAt,
    tasks: request.tasks.map(task => ({
        request: task,
        state: "waiting",
        failures: 0,
        lastRun: 0,
        session: undefined,
        placedAt: 0,
        avoided: [],
    })),
    waiting: request.tasks.length,
    done: 0,
    started: 0,
    submitter,
    isSubmitterPresent: submitter.whenPresent === undefined,
    remoteAcknowledgement: "no",
    remoteTasks: new Map(),
    withdrawn: false,
    closed: false,
    releaseMemory: () => undefined,
    mayRunElsewhereUntil: getElsewhereEnd(request, receivedAt),
});

/**
 * Applies a later submission of a job that is present. What an earlier one said of possible runs remains true; a later
 * one adds to it when another owner had the job meanwhile.
 */
export const applyResubmission = (job: ScheduledJob, request: JobRequest, now: Milliseconds): void => {
    if (!(request.hadOtherOwner ?? request.resubmitted)) {
        return;
    }
    job.request = {
        ...job.request,
        resubmitted: job.request.resubmitted || request.resubmitted,
        mayRunElsewhere: job.request.mayRunElsewhere || request.mayRunElsewhere,
    };
    job.mayRunElsewhereUntil = Math.max(job.mayRunElsewhereUntil, getElsewhereEnd(request, now));
};

/** True while tasks of the job may be started: its submitter waits for them here, and not at another owner. */
export const mayStartTasks = (job: ScheduledJob): boolean => job.isSubmitterPresent && !job.withdrawn;

/** Marks a task as placed on a worker, where its run is ordered or already in progress. */
export const markPlaced = (
    job: ScheduledJob,
    task: ScheduledTask,
    session: WorkerSession,
    run: number,
    placedAt: Milliseconds,
): void => {
    task.state = "placed";
    task.session = session;
    task.lastRun = run;
    task.placedAt = placedAt;
    job.waiting -= 1;
    job.started += 1;
};

/** Time until which tasks of the job may run in another zone, unknown to this scheduler; 0 when there can be none. */
const getElsewhereEnd = (request: JobRequest, now: Milliseconds): Milliseconds =>
    request.mayRunElsewhere ? now + takeoverUncertaintyMs : 0;
