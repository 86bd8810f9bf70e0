/** Answers of ended jobs, for callers that resubmit a job because its answer was lost. */

import type { Clock, JobId, Milliseconds } from "@anvilmux/common";
import { endedJobRetentionMs, maximumEndedJobs } from "./constants";
import type { JobAnswer } from "./types";

interface EndedJob {
    readonly answer: JobAnswer;
    readonly endedAt: Milliseconds;
}

export class EndedJobs {
    /** In order of their end, so that the oldest are removed first. */
    private readonly jobs = new Map<JobId, EndedJob>();

    constructor(private readonly clock: Clock) {}

    get(id: JobId): JobAnswer | undefined {
        return this.jobs.get(id)?.answer;
    }

    add(id: JobId, answer: JobAnswer): void {
        const now = this.clock.now();
        this.jobs.set(id, { answer, endedAt: now });
        for (const [first, { endedAt }] of this.jobs) {
            if (now - endedAt <= endedJobRetentionMs && this.jobs.size <= maximumEndedJobs) {
                return;
            }
            this.jobs.delete(first);
        }
    }
}
