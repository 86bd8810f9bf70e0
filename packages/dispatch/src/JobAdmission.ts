/** Whether a job that arrives is answered at once: it cannot be done here, or not in time. */

import type { CrashSuspects } from "./CrashSuspects";
import type { OverloadControl } from "./OverloadControl";
import type { OwnedWorkers } from "./OwnedWorkers";
import type { ScheduledJob } from "./ScheduledJob";
import type { JobAnswer, JobRequest } from "./types";

export interface JobAdmissionOptions {
    readonly suspects: CrashSuspects;
    readonly workers: OwnedWorkers;
    readonly overload: OverloadControl;
    readonly getFencingToken: () => number;
    /** Called when an entry has seen a higher claim than this owner's. */
    readonly onOutranked: (claim: number) => void;
    /** True when runs of an earlier submission of the job have not ended, or may be unknown here. */
    readonly mayHaveRuns: (job: ScheduledJob) => boolean;
}

export class JobAdmission {
    constructor(private readonly options: JobAdmissionOptions) {}

    /** Reports a claim above this owner's: the owner that holds it may have had the job and started runs of it. */
    checkClaim({ highestClaim = 0, spilled }: JobRequest): void {
        if (!spilled && highestClaim > this.options.getFencingToken()) {
            this.options.onOutranked(highestClaim);
        }
    }

    /** The answer to a job that is not accepted; undefined for one that is. */
    findAnswer(job: ScheduledJob): JobAnswer | undefined {
        const { request } = job;
        const { suspects, workers, overload, mayHaveRuns } = this.options;
        const answer = suspects.findAnswer(request.tasks);
        if (answer) {
            return answer;
        }
        const reason = workers.findPermanentObstacle(request);
        if (reason !== undefined) {
            return { kind: "failed", reason };
        }
        // A refusal says that nothing has run, which is not known of a job that came before.
        const mayHaveRun = request.resubmitted || request.mayRunElsewhere || mayHaveRuns(job);
        return mayHaveRun ? undefined : overload.refuse(job);
    }
}
