/** Which worker a task goes to. */

import type { Room } from "./types";
import type { WorkerSession } from "./WorkerSession";

export interface WorkerChoiceInput {
    readonly sessions: Iterable<WorkerSession>;
    readonly service: string;
    readonly needed: Room;
    /** Workers on which the task failed before. */
    readonly avoided: readonly WorkerSession[];
    /** Extra cost of a worker in millicores; workers that were found slow or failing cost more. */
    readonly getPenalty: (session: WorkerSession) => number;
}

export type ChooseWorker = (input: WorkerChoiceInput) => WorkerSession | undefined;

/** The worker that keeps the least processors unused beside the task, so that wide tasks find room elsewhere. */
export const chooseTightest: ChooseWorker = ({ sessions, service, needed, avoided, getPenalty }) => {
    let best: WorkerSession | undefined;
    let bestCost = Infinity;
    for (const session of sessions) {
        if (session.announcement.service !== service || !session.isUsable || !session.hasRoom(needed)) {
            continue;
        }
        const unused = session.free.millicores - needed.millicores;
        const cost = unused + getPenalty(session) + (avoided.includes(session) ? avoidedCost : 0);
        if (cost < bestCost) {
            best = session;
            bestCost = cost;
        }
    }
    return best;
};

/** Cost in millicores of a worker on which the task has failed. */
const avoidedCost = 1_000_000;
