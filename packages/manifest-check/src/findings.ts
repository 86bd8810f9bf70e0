/** Findings of a check, and the verdict that follows from them. */

/**
 * `invalid`: control refuses the manifest. `doubtful`: control accepts it, but an entry has no effect or limits
 * contradict each other. `information`: a fact that does not count against the manifest.
 */
export type Severity = "invalid" | "doubtful" | "information";

/** Stable across releases, for pipelines that filter findings. */
export type FindingCode =
    // Refusals of control, by the code of its own error or decision.
    | "invalid-envelope"
    | "invalid-json"
    | "invalid-manifest"
    | "manifest-too-large"
    | "envelope-too-large"
    | "unknown-key"
    | "wrong-signature"
    | "conflicting-version"
    | "stale-version"
    | "dropped-service"
    // Entries that can never match.
    | "duplicate-queue-name"
    | "hidden-prefix"
    | "unreachable-prefix"
    | "unreachable-host"
    | "host-without-queue"
    | "kind-without-caller"
    | "caller-without-permission"
    | "shared-token"
    | "team-without-caller"
    | "dropped-service-defined"
    | "dropped-service-unknown"
    | "service-without-upstream"
    | "queue-without-worker"
    // Limits that contradict each other.
    | "objective-below-task"
    | "timeout-below-target-latency"
    | "deadline-below-run-time"
    | "deadline-above-claim-retention"
    | "answer-limit-above-recorded"
    | "task-run-above-deadline"
    // Facts.
    | "signature-not-checked"
    | "already-in-force";

export interface Finding {
    readonly severity: Severity;
    /** RFC 6901 pointer into the manifest; into the envelope where the envelope itself is at fault. */
    readonly pointer: string;
    readonly code: FindingCode;
    readonly text: string;
}

export type Verdict = "sound" | "doubtful" | "invalid";

export const newDoubt = (pointer: string, code: FindingCode, text: string): Finding => ({
    severity: "doubtful",
    pointer,
    code,
    text,
});

export const getVerdict = (findings: readonly Finding[]): Verdict => {
    const severities = new Set(findings.map(finding => finding.severity));
    return severities.has("invalid") ? "invalid" : severities.has("doubtful") ? "doubtful" : "sound";
};
