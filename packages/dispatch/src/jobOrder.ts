/** The order in which waiting jobs are served: by the latest time at which they should start. */

import type { PoolJob } from "./PoolJob";

const compare = (left: PoolJob, right: PoolJob): number =>
    left.startBy - right.startBy || left.request.priority - right.request.priority;

/** Puts a job into a list that is in order. */
export const insertInOrder = (queue: PoolJob[], job: PoolJob): void => {
    const position = queue.findLastIndex(other => compare(other, job) <= 0);
    queue.splice(position + 1, 0, job);
};
