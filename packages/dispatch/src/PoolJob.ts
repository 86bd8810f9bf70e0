/** A job in the hands of the owner of a zone's workers. */

import type { Milliseconds } from "@anvilmux/common";
import type { JobAnswer, JobRequest, TaskRequest } from "./types";
import type { WorkerSession } from "./WorkerSession";

export interface PoolTask {
    readonly request: TaskRequest;
    state: "waiting" | "placed" | "done";
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
    home: string;
    report: (answer: JobAnswer) => void;
    /** True once it has its answer or nobody waits for it. */
    closed: boolean;
    /** Until then earlier runs, started by a former owner, may go on unseen. */
    uncertainUntil: Milliseconds;
}

/** The longest estimated task of a job. */
export const getLongestEstimate = (request: JobRequest): Milliseconds =>
    Math.max(...request.tasks.map(task => task.estimateMs));

export const newPoolJob = (
    request: JobRequest,
    home: string,
    receivedAt: Milliseconds,
    uncertainUntil: Milliseconds,
    report: (answer: JobAnswer) => void,
): PoolJob => ({
    request,
    receivedAt,
    startBy: receivedAt + request.objectiveMs - getLongestEstimate(request),
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
    report,
    closed: false,
    uncertainUntil,
});
