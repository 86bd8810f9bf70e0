/** Submits an entry's jobs to the scheduler in its own process, while it owns the zone's workers. */

import type { OwnerLink, PendingJobs, TaskScheduler } from "@anvilmux/dispatch";

/** `getScheduler` returns undefined once another entry owns the workers. */
export const newLocalOwnerLink = (
    id: string,
    pendingJobs: PendingJobs,
    getScheduler: () => TaskScheduler | undefined,
): OwnerLink => ({
    id,
    submit: (request, submission) => {
        const mark = (hasRemoteTasks: boolean) =>
            pendingJobs.markRemoteTasks(id, request.id, hasRemoteTasks, submission);
        getScheduler()?.submit(request, {
            key: id,
            answer: answer => pendingJobs.handleAnswer(id, request.id, answer, submission),
            // `pendingJobs` outlives the scheduler when ownership moves to another entry.
            announceRemoteTasks: () => mark(true),
            announceNoRemoteTasks: () => void mark(false),
        });
        return getScheduler() !== undefined;
    },
    cancel: jobId => getScheduler()?.cancel(jobId, id, "cancelled here"),
    withdraw: jobId => getScheduler()?.withdraw(jobId, id),
});
