/** How long a job waits for possible runs of a former owner, and when it is aborted. */

import type { Milliseconds } from "@anvilmux/common";
import { refusalRetryMs, takeoverUncertaintyMs } from "./constants";
import type { ScheduledJob } from "./ScheduledJob";
import type { JobAnswer } from "./types";

/** State of the scheduler on which these decisions depend. */
export interface SchedulerView {
    readonly now: Milliseconds;
    /** Since when only this owner can have started runs; those from before are known only from workers' lists. */
    readonly ownsSince: Milliseconds;
    /** True once every worker has listed its runs. */
    readonly areAllListed: () => boolean;
    /** Runs of former owners may go on until then at workers that are not known here. */
    readonly unknownWorkersUntil: Milliseconds;
}

/**
 * True while runs of the job that are unknown to this scheduler may continue: in another zone, or under the lease of a
 * former owner. Any job may have been with the former owner, since its caller may have sent it through another entry.
 */
export const mayHaveUnseenRuns = (job: ScheduledJob, view: SchedulerView): boolean =>
    view.now < job.mayRunElsewhereUntil || mayWorkersHaveUnseenRuns(view);

/**
 * True while workers that have not listed their runs, or are not known here, may hold some that a former owner started.
 */
export const mayWorkersHaveUnseenRuns = (view: SchedulerView): boolean =>
    view.now < view.unknownWorkersUntil
    || (view.now < view.ownsSince + takeoverUncertaintyMs && !view.areAllListed());

/** True when the job must be aborted: its caller no longer waits, or it cannot start in time. */
export const cannotMeetDeadline = (job: ScheduledJob, view: SchedulerView): boolean => {
    const isOverdue = view.now > job.receivedAt + job.request.remainingMs;
    return isOverdue || (view.now > job.abortAfter && canNoLongerStart(job, view));
};

/**
 * The answer to an aborted job; a refusal only when none of its tasks can have run. `mayHaveRuns`: runs of an earlier
 * submission of it have not ended, or may be unknown to this scheduler. A refusal to the owner of another
 * zone speaks of this zone alone, where tasks that were not forwarded before cannot have run; that owner still knows
 * that its job was resubmitted. `reason`: why a refused job could not start.
 */
export const newAbortAnswer = (
    job: ScheduledJob,
    mayHaveRuns: boolean,
    reason = "no room in time",
): JobAnswer => {
    const { resubmitted, mayRunElsewhere, spilled } = job.request;
    return job.started === 0 && !mayHaveRuns && (!resubmitted || spilled) && !mayRunElsewhere
        ? { kind: "refused", reason, retryAfterMs: refusalRetryMs }
        : { kind: "unknown", reason: "not ended in time, and tasks of it may have run" };
};

/** False while a run started by a former owner may still be found and adopted. */
const canNoLongerStart = (job: ScheduledJob, view: SchedulerView): boolean =>
    job.started === 0 && (job.request.mayRunElsewhere || !mayHaveUnseenRuns(job, view));
