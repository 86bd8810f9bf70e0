/** Selects the waiting tasks that fit into the free capacity reported by another zone. */

import type { ScheduledTask } from "./ScheduledJob";
import type { JobRequest } from "./types";

export interface SpillChoice {
    readonly tasks: readonly ScheduledTask[];
    /** Reported capacity that remains after the chosen tasks, in millicores for each worker. */
    readonly freeAfter: readonly number[];
}

/** The tasks that fit together, each placed by best fit. */
export const chooseSpill = (waiting: readonly ScheduledTask[], free: readonly number[]): SpillChoice => {
    const freeAfter = [...free].sort((one, other) => one - other);
    const tasks = waiting.filter(task => {
        const bestFitIndex = freeAfter.findIndex(millicores => millicores >= task.request.millicores);
        if (bestFitIndex < 0) {
            return false;
        }
        const remainingMillicores = freeAfter[bestFitIndex]! - task.request.millicores;
        freeAfter.splice(bestFitIndex, 1);
        freeAfter.splice(
            freeAfter.findLastIndex(millicores => millicores <= remainingMillicores) + 1,
            0,
            remainingMillicores,
        );
        return true;
    });
    return { tasks, freeAfter };
};

/** False when one of two requests for a job is only a part that another zone forwarded. */
export const hasSameTasks = (one: JobRequest, other: JobRequest): boolean =>
    one.tasks.length === other.tasks.length && one.tasks[0]?.name === other.tasks[0]?.name;
