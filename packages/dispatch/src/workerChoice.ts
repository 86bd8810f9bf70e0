/** Selects the worker for a task. */

import type { Milliseconds } from "@anvilmux/common";
import type { Resources } from "./types";
import type { WorkerSession } from "./WorkerSession";

/** Extra cost of a worker in millicores, never negative; `Infinity` for one that must not be chosen. */
export type GetPenalty = (session: WorkerSession) => number;

export interface WorkerChoiceInput {
    /** The workers of the service with enough free processors, those with the fewest first. */
    readonly sessions: Iterable<WorkerSession>;
    readonly needed: Resources;
    /** Workers that are chosen last, as an earlier run of the task did not succeed there. */
    readonly avoided: readonly WorkerSession[];
    /** Higher for workers with a record of slow runs. */
    readonly getPenalty: GetPenalty;
}

export type ChooseWorker = (input: WorkerChoiceInput) => WorkerSession | undefined;

/**
 * Best fit: the worker that is left with the fewest free processors, which keeps large gaps for large tasks. The search
 * ends at the first worker that would be left with as many as the best one costs, since all later ones cost more.
 */
export const chooseBestFit: ChooseWorker = ({ sessions, needed, avoided, getPenalty }) => {
    let best: WorkerSession | undefined;
    let bestCost = Infinity;
    for (const session of sessions) {
        const unused = session.free.millicores - needed.millicores;
        if (unused >= bestCost) {
            break;
        }
        if (!session.isUsable || !session.hasCapacity(needed)) {
            continue;
        }
        const cost = unused + getPenalty(session) + (avoided.includes(session) ? avoidedCostMillicores : 0);
        if (cost < bestCost) {
            best = session;
            bestCost = cost;
        }
    }
    return best;
};

export interface LatenessInput {
    /** Expected run time of the task on a worker of speed 1. */
    readonly runMs: Milliseconds;
    /** Time from now by which it should end. */
    readonly leftMs: Milliseconds;
    readonly getSpeed: (session: WorkerSession) => number;
    /** Cost by the record of the last runs, which shows sooner than the speed that a worker has turned slow. */
    readonly getRecordPenalty: GetPenalty;
}

/**
 * Slow workers get the tasks that have the time for them. A task that would end late there waits for a faster worker as
 * long as that can help; then it goes to the worker on which it ends first.
 */
export const newLatenessPenalty = (
    { runMs, leftMs, getSpeed, getRecordPenalty }: LatenessInput,
): GetPenalty => {
    const mayWait = leftMs > runMs;
    return session => {
        const expectedMs = runMs / getSpeed(session);
        const lateMs = runTimeSafety * expectedMs - leftMs;
        if (lateMs <= 0) {
            return extraTimeCostMillicores * Math.max(0, expectedMs - runMs) + getRecordPenalty(session);
        }
        return mayWait ? Infinity : latenessCostMillicores * lateMs + getRecordPenalty(session);
    };
};

/** A task may take this many times its expected run time. */
const runTimeSafety = 1.15;
/** Cost of each millisecond that a task takes longer than on an ordinary worker. */
const extraTimeCostMillicores = 20;
/** Cost of a worker on which a task would end late, for each millisecond. */
const latenessCostMillicores = 1_000;
/** Cost of a worker to be avoided; it exceeds any number of unused millicores. */
const avoidedCostMillicores = 1_000_000;
