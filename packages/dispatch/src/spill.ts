/** Selects the waiting tasks that fit into the free capacity reported by another zone. */

import type { ScheduledTask } from "./ScheduledJob";
import type { JobRequest } from "./types";

export interface SpillChoice {
    readonly tasks: readonly ScheduledTask[];
    /** Reported capacity that remains after the chosen tasks, in millicores for each worker. */
    readonly left: readonly number[];
}

/** The tasks that fit together, each placed by best fit. */
export const chooseSpill = (waiting: readonly ScheduledTask[], free: readonly number[]): SpillChoice => {
    const left = [...free].sort((one, other) => one - other);
    const tasks = waiting.filter(task => {
        const gap = left.findIndex(millicores => millicores >= task.request.millicores);
        if (gap < 0) {
            return false;
        }
        const rest = left[gap]! - task.request.millicores;
        left.splice(gap, 1);
        left.splice(left.findLastIndex(millicores => millicores <= rest) + 1, 0, rest);
        return true;
    });
    return { tasks, left };
};

/** False when one of two requests for a job is only a part that another zone forwarded. */
export const hasSameTasks = (one: JobRequest, other: JobRequest): boolean =>
    one.tasks.length === other.tasks.length && one.tasks[0]?.name === other.tasks[0]?.name;
