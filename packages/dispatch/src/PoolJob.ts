/** A job in the hands of the owner of a zone's workers. */

import type { Milliseconds } from "@anvilmux/common";
import { runTimeMargin, takeoverUncertaintyMs } from "./constants";
import type { JobAnswer, JobHome, JobRequest, TaskRequest } from "./types";
import type { WorkerSession } from "./WorkerSession";

export interface PoolTask {
    readonly request: TaskRequest;
    /** `away`: handed to another zone. */
    state: "waiting" | "placed" | "away" | "done";
    failures: number;
    /** Number of the last run that was ordered. */
    lastRun: number;
    session: WorkerSession | undefined;
    placedAt: Milliseconds;
    /** Workers on which a run failed; others are tried first. */
    readonly avoided: WorkerSession[];
}

export interface PoolJob {
    readonly request: JobRequest;
    readonly receivedAt: Milliseconds;
    /** Latest time at which its tasks should start; jobs are served in this order. */
    readonly startBy: Milliseconds;
    readonly tasks: readonly PoolTask[];
    /** Tasks that have no run. */
    waiting: number;
    done: number;
    /** Runs ordered so far; a job with none can be refused. */
    started: number;
    home: JobHome;
    /** Whether the home knows that tasks may be in other zones; only then they are handed over. */
    awayKnown: "no" | "asked" | "yes";
    /** Tasks handed to other zones, by zone. */
    readonly away: Map<string, readonly PoolTask[]>;
    /** True once it has its answer or nobody waits for it. */
    closed: boolean;
    /** Until then earlier runs, started by a former owner, may go on unseen. */
    uncertainUntil: Milliseconds;
}

/** What becomes of a task after a run here or its stay in another zone. */
export interface TaskEvents {
    readonly onDone: (job: PoolJob, task: PoolTask) => void;
    /** The task has no run and waits again. */
    readonly onAgain: (job: PoolJob, task: PoolTask) => void;
    readonly onFinish: (job: PoolJob, answer: JobAnswer) => void;
}

/** The longest estimated task of a job. */
export const getLongestEstimate = (request: JobRequest): Milliseconds =>
    Math.max(...request.tasks.map(task => task.estimateMs));

export const newPoolJob = (
    request: JobRequest,
    home: JobHome,
    receivedAt: Milliseconds,
    uncertainUntil: Milliseconds,
): PoolJob => ({
    request,
    receivedAt,
    startBy: receivedAt + Math.max(0, request.objectiveMs - runTimeMargin * getLongestEstimate(request)),
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
    home,
    awayKnown: "no",
    away: new Map(),
    closed: false,
    uncertainUntil,
});

/** Notes that a run of the task is ordered or goes on at a worker. */
export const placeTask = (
    job: PoolJob,
    task: PoolTask,
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

/** Until when runs of the job that the pool has not seen may go on. */
export const getUncertaintyEnd = (
    request: JobRequest,
    now: Milliseconds,
    ownsSince: Milliseconds,
): Milliseconds => {
    if (request.mayRunElsewhere) {
        return now + takeoverUncertaintyMs;
    }
    return request.resubmitted ? ownsSince + takeoverUncertaintyMs : 0;
};
