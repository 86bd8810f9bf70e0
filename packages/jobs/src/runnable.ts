/** Checks before a job is accepted whether it could ever run. */

import type { Manifest } from "@anvilmux/manifest";
import type { WorkerAnnouncement } from "@anvilmux/membership";
import { JobError } from "./errors";
import type { Submission, TaskSpecification, WorkerOwner } from "./types";

/** True when the worker could run the task if it were idle. */
export const canRun = (worker: WorkerAnnouncement, task: TaskSpecification): boolean =>
    worker.processors >= task.processors
    && worker.memoryMebibytes >= task.memoryMebibytes
    && worker.accelerators >= task.accelerators;

/** Throws `JobError` with code `never-runnable`, or `not-settled` while not all workers are known yet. */
export const checkRunnable = (
    submission: Submission,
    team: string,
    manifest: Manifest | undefined,
    owners: readonly WorkerOwner[],
    isSettled: boolean,
): void => {
    const workers = owners.flatMap(owner => owner.workers);
    const quota = manifest?.teams.find(candidate => candidate.name === team);
    submission.tasks.forEach((task, position) => {
        if (
            task.processors > (quota?.processors ?? Infinity) || task.accelerators > (quota?.accelerators ?? Infinity)
        ) {
            throw new JobError("never-runnable", `/tasks/${position}: needs more than the quota of team "${team}"`);
        }
        if (!workers.some(worker => canRun(worker, task))) {
            const reason = `/tasks/${position}: no worker of this zone has the processors, memory and accelerators`;
            throw new JobError(isSettled ? "never-runnable" : "not-settled", reason);
        }
    });
};
