/** Selects the worker for a task. */

import type { Resources } from "./types";
import type { WorkerSession } from "./WorkerSession";

export interface WorkerChoiceInput {
    /** The workers of the service with enough free processors, those with the fewest first. */
    readonly sessions: Iterable<WorkerSession>;
    readonly needed: Resources;
    /** Workers that are chosen last, as an earlier run of the task did not succeed there. */
    readonly avoided: readonly WorkerSession[];
    /** Extra cost of a worker in millicores, higher for workers with a record of slow runs; never negative. */
    readonly getPenalty: (session: WorkerSession) => number;
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

/** Cost of a worker to be avoided; it exceeds any number of unused millicores. */
const avoidedCostMillicores = 1_000_000;
