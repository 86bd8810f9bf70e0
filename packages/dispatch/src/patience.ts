/** How long a pool waits with a job: for runs of a former owner, and when it gives up. */

import type { Milliseconds } from "@anvilmux/common";
import { refusalRetryMs } from "./constants";
import type { PoolJob } from "./PoolJob";
import type { JobAnswer } from "./types";

/** What a pool knows when it decides. */
export interface PoolView {
    readonly now: Milliseconds;
    /** True once every worker has listed its runs. */
    readonly areAllListed: () => boolean;
}

/** True while runs of the job that this pool has not seen may go on. */
export const isUncertain = (job: PoolJob, view: PoolView): boolean =>
    view.now < job.uncertainUntil && (job.request.mayRunElsewhere || !view.areAllListed());

/** True when the job is to be given up: nobody waits any more, or it cannot start in time. */
export const isHopeless = (job: PoolJob, view: PoolView): boolean => {
    const isOverdue = view.now > job.receivedAt + job.request.remainingMs;
    return isOverdue || (view.now > job.startBy && canNoLongerStart(job, view));
};

/** The answer to a job that is given up; a refusal only when nothing of it has run. */
export const newGivenUpAnswer = (job: PoolJob): JobAnswer => {
    const { resubmitted, mayRunElsewhere } = job.request;
    return job.started === 0 && !resubmitted && !mayRunElsewhere
        ? { kind: "refused", reason: "no room in time", retryAfterMs: refusalRetryMs }
        : { kind: "unknown", reason: "not ended in time, and tasks of it may have run" };
};

/** False while a run that a former owner started may yet be found and taken over. */
const canNoLongerStart = (job: PoolJob, view: PoolView): boolean =>
    job.started === 0 && (job.request.mayRunElsewhere || !isUncertain(job, view));
