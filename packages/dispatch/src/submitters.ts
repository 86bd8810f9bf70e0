/** The entry that waits for a job, and the entry that takes its place when the job is submitted again. */

import type { Timers } from "@anvilmux/common";
import { orphanGraceMs, spilledGraceMs } from "./constants";
import type { ScheduledJob } from "./ScheduledJob";
import { logDoubtedSubmitter } from "./schedulerLog";
import type { SchedulerLogContext } from "./schedulerLog";
import type { JobSubmitter } from "./types";

/** Calls `onPresent` once the present submitter of the job is known to wait for it; no task is started before. */
export const awaitSubmitter = (context: SchedulerLogContext, job: ScheduledJob, onPresent: () => void): void => {
    const { submitter } = job;
    submitter.whenPresent?.(() => {
        if (job.submitter === submitter && !job.closed) {
            job.isSubmitterPresent = true;
            onPresent();
        }
    });
    if (!job.isSubmitterPresent) {
        logDoubtedSubmitter(context, job);
    }
};

/** Gives a job that is present a new submitter, which is told of tasks in other zones. */
export const replaceSubmitter = (job: ScheduledJob, submitter: JobSubmitter): void => {
    job.submitter = submitter;
    job.isSubmitterPresent = submitter.whenPresent === undefined;
    job.withdrawn = false;
    job.remoteAcknowledgement = "no";
    if (job.remoteTasks.size > 0) {
        job.remoteAcknowledgement = submitter.announceRemoteTasks() ? "yes" : "asked";
    }
};

/**
 * Handles the end of a submitter's connection. Its jobs start no more tasks, and those that no other submitter has taken over by
 * the end of a grace period are closed.
 */
export const abandonJobs = (
    timers: Timers,
    jobs: readonly ScheduledJob[],
    close: (job: ScheduledJob) => void,
): void => {
    for (const job of jobs) {
        const { submitter } = job;
        job.isSubmitterPresent = false;
        timers.after(job.request.spilled ? spilledGraceMs : orphanGraceMs, () => {
            if (!job.closed && job.submitter === submitter) {
                close(job);
            }
        });
    }
};
