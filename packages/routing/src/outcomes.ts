/**
 * The outcomes reported to callers in the `Anvilmux-Outcome` header: answered, not-run (the work did not run) and
 * unknown. One is never reported as another. Refusals and unknown outcomes carry a problem document (RFC 9457).
 */

import type { Milliseconds } from "@anvilmux/common";
import type { RefusalReason } from "./types";

export const outcomeHeader = "anvilmux-outcome";
export const requestIdHeader = "anvilmux-request-id";
export const replayedHeader = "anvilmux-replayed";
export const deadlineHeader = "anvilmux-deadline-ms";
export const teamHeader = "anvilmux-team";
export const problemContentType = "application/problem+json";

export type Outcome = "answered" | "not-run" | "unknown";

/** A problem document. `outcome` repeats the header. */
export interface Problem {
    readonly type: string;
    readonly title: string;
    readonly status: number;
    readonly detail: string;
    readonly outcome: Outcome;
    readonly retryAfter?: Milliseconds;
}

const problemTypePrefix = "urn:anvilmux:problem:";

export const newProblem = (
    status: number,
    name: string,
    title: string,
    outcome: Outcome,
    detail: string,
    retryAfter?: Milliseconds,
): Problem => ({
    type: problemTypePrefix + name,
    title,
    status,
    detail,
    outcome,
    ...(retryAfter === undefined ? {} : { retryAfter }),
});

interface RefusalText {
    readonly status: number;
    readonly title: string;
    readonly detail: string;
}

const refusalTexts: Readonly<Record<RefusalReason, RefusalText>> = {
    "no-upstream": {
        status: 503,
        title: "No upstream available",
        detail: "no upstream of the service is announced and healthy",
    },
    "deadline-out-of-reach": {
        status: 503,
        title: "Overloaded",
        detail: "the work ahead would not leave enough time before the deadline",
    },
    "deadline-passed": {
        status: 503,
        title: "Deadline passed while waiting",
        detail: "no slot became free in time",
    },
    "queue-full": { status: 503, title: "Overloaded", detail: "too many bytes wait in this instance" },
    "try-elsewhere": { status: 503, title: "Overloaded", detail: "no slot is free in this zone" },
    "steward-unreachable": { status: 503, title: "No slot decision", detail: "the service's steward did not answer" },
    "shutting-down": { status: 503, title: "Shutting down", detail: "this instance takes no new work" },
    "caller-left": { status: 499, title: "Caller went away", detail: "the caller closed the connection" },
};

/** The refusal of a request that did not run. */
export const newRefusalProblem = (reason: RefusalReason, retryAfter: Milliseconds): Problem => {
    const { status, title, detail } = refusalTexts[reason];
    return newProblem(status, reason, title, "not-run", detail, retryAfter);
};

/** The problem of a request that may have run but has no complete answer. */
export const newUnknownProblem = (reason: string, timedOut: boolean): Problem =>
    newProblem(timedOut ? 504 : 502, "outcome-unknown", "Outcome unknown", "unknown", reason);
