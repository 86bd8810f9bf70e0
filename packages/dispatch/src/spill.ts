/** Which waiting tasks fit into the room that another zone has reported. */

import type { PoolTask } from "./PoolJob";
import type { JobRequest } from "./types";

export interface SpillChoice {
    readonly tasks: readonly PoolTask[];
    /** What the chosen tasks leave of the reported room, in millicores for each worker. */
    readonly left: readonly number[];
}

/** The tasks that fit beside one another, each into the tightest gap. */
export const chooseSpill = (waiting: readonly PoolTask[], free: readonly number[]): SpillChoice => {
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

/** False when one of two requests for a job is only a part that another zone handed over. */
export const hasSameTasks = (one: JobRequest, other: JobRequest): boolean =>
    one.tasks.length === other.tasks.length && one.tasks[0]?.name === other.tasks[0]?.name;
