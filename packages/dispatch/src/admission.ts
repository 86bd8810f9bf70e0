/**
 * Whether a job that arrives can start in time behind the jobs that wait, and without making one of them late that was
 * promised its capacity.
 */

import type { Milliseconds } from "@anvilmux/common";
import type { CapacityForecast, ExpectedDemand, WaitingDemand } from "./CapacityForecast";

export interface AdmissionInput {
    readonly job: WaitingDemand;
    /** Admitted jobs that are served before this one, and those served after it. */
    readonly ahead: readonly WaitingDemand[];
    readonly behind: readonly WaitingDemand[];
    readonly expected: readonly ExpectedDemand[];
    readonly forecast: CapacityForecast;
}

export interface AdmissionDecision {
    readonly isAdmitted: boolean;
    /** Time from now at which the job would have all its processors; `Infinity` beyond the forecast's horizon. */
    readonly startsInMs: Milliseconds;
    /** Why it is not admitted. */
    readonly cause?: "late-start" | "breaks-promise" | "less-important";
}

export const decideAdmission = ({ job, ahead, behind, expected, forecast }: AdmissionInput): AdmissionDecision => {
    const starts = forecast.getStarts([...ahead, job, ...behind], expected);
    const startsInMs = starts[ahead.length]!;
    if (startsInMs > job.slackMs) {
        return { isAdmitted: false, startsInMs, cause: "late-start" };
    }
    // The forecast tells nothing of a job that can wait beyond its horizon.
    const isLate = (start: Milliseconds, slackMs: Milliseconds) =>
        start > slackMs && slackMs > 0 && slackMs <= forecast.horizonMs;
    if (!behind.some(({ slackMs }, index) => isLate(starts[ahead.length + 1 + index]!, slackMs))) {
        return { isAdmitted: true, startsInMs };
    }
    // A job that is late without this one tells nothing about it.
    const startsWithout = forecast.getStarts([...ahead, ...behind], expected);
    const breaksPromise = behind.some(({ slackMs }, index) =>
        isLate(starts[ahead.length + 1 + index]!, slackMs) && startsWithout[ahead.length + index]! <= slackMs
    );
    return breaksPromise
        ? { isAdmitted: false, startsInMs, cause: "breaks-promise" }
        : { isAdmitted: true, startsInMs };
};
