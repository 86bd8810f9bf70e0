/** Whether a manifest may replace the one in force, by the decision that control takes. */

import { decideStrictUpdate } from "@anvilmux/manifest";
import type { ParsedManifest, UpdateDecision } from "@anvilmux/manifest";
import { newDoubt } from "./findings";
import type { Finding, FindingCode } from "./findings";

/** Pointers to the fields on which the refusals of control depend. */
const pointerByReason: Readonly<Record<string, string>> = {
    "conflicting-version": "/version",
    "stale-version": "/version",
    "dropped-service": "/droppedServices",
};

export const checkUpdate = (current: ParsedManifest, candidate: ParsedManifest): readonly Finding[] => {
    const decision = decideStrictUpdate(current, candidate);
    if (decision.kind === "known") {
        const text = `version ${candidate.manifest.version} is in force with the same content`;
        return [{ severity: "information", pointer: "/version", code: "already-in-force", text }];
    }
    return [...toRefusals(decision), ...findLostHosts(current, candidate), ...findUnknownDrops(current, candidate)];
};

const toRefusals = (decision: UpdateDecision): readonly Finding[] =>
    decision.kind === "refused"
        ? [{
            severity: "invalid",
            pointer: pointerByReason[decision.reason] ?? "",
            code: decision.reason as FindingCode,
            text: decision.detail,
        }]
        : [];

/** Hosts whose jobs the version in force accepts and the candidate does not. */
const findLostHosts = (current: ParsedManifest, candidate: ParsedManifest): readonly Finding[] => {
    const kept = new Set(candidate.manifest.queues.map(queue => queue.host));
    const lost = new Set(current.manifest.queues.map(queue => queue.host).filter(host => !kept.has(host)));
    return [...lost].map(host =>
        newDoubt("/queues", "host-without-queue", `host "${host}" of the version in force has no queue any more`)
    );
};

const findUnknownDrops = (current: ParsedManifest, candidate: ParsedManifest): readonly Finding[] => {
    const known = new Set(current.manifest.services.map(service => service.name));
    return candidate.manifest.droppedServices.flatMap((name, index) =>
        known.has(name) ? [] : [newDoubt(
            `/droppedServices/${index}`,
            "dropped-service-unknown",
            `the version in force defines no service "${name}"`,
        )]
    );
};
