/** The whole check of a manifest, with everything that is known about the deployment passed in. */

import { ManifestError, maximumEnvelopeBytes } from "@anvilmux/manifest";
import type { ParsedManifest, TrustedKeys } from "@anvilmux/manifest";
import { findDifferences } from "./differences";
import type { Difference } from "./differences";
import { readCandidate } from "./documents";
import type { ReadCandidate } from "./documents";
import { getVerdict, newDoubt } from "./findings";
import type { Finding, FindingCode, Verdict } from "./findings";
import { findContradictions } from "./limits";
import { findUnmatchedEntries, findUnservedEntries } from "./unmatchedEntries";
import type { ServedServices } from "./unmatchedEntries";
import { checkUpdate } from "./update";

/** What the manifest is checked against; absent parts are not checked. */
export interface CheckContext {
    /** The manifest in force. */
    readonly current?: ParsedManifest;
    readonly served?: ServedServices;
    /** Keys with which the signature of an envelope is verified. */
    readonly trustedKeys?: TrustedKeys;
}

export interface CheckReport {
    readonly verdict: Verdict;
    /** Absent when the document cannot be read as a manifest. */
    readonly version?: number;
    readonly findings: readonly Finding[];
    /** Version in force; absent, like the differences, when there is nothing to compare with. */
    readonly currentVersion?: number;
    readonly differences?: readonly Difference[];
}

export const checkCandidate = (text: string, context: CheckContext = {}): CheckReport => {
    let candidate: ReadCandidate;
    try {
        candidate = readCandidate(text, context.trustedKeys);
    }
    catch (error) {
        if (error instanceof ManifestError) {
            return { verdict: "invalid", findings: toFindings(error) };
        }
        throw error;
    }
    const { manifest } = candidate;
    const { current, served } = context;
    const findings = [
        ...checkEnvelope(candidate, text),
        ...(current ? checkUpdate(current, candidate) : []),
        ...findUnmatchedEntries(manifest),
        ...findContradictions(manifest),
        ...(served ? findUnservedEntries(manifest, served) : []),
    ];
    return {
        verdict: getVerdict(findings),
        version: manifest.version,
        findings,
        ...(current
            ? {
                currentVersion: current.manifest.version,
                differences: findDifferences(current.manifest, manifest),
            }
            : {}),
    };
};

const toFindings = (error: ManifestError): readonly Finding[] =>
    error.faults.map(({ pointer, reason }) => ({
        severity: "invalid",
        pointer,
        code: error.code as FindingCode,
        text: reason,
    }));

/** Bytes of an envelope beside the manifest: the longest key id, the signature and the field names. */
const envelopeOverheadBytes = 512;

/** A manifest may be small enough by itself and too large once it is quoted within an envelope. */
const checkEnvelope = ({ signature }: ReadCandidate, text: string): readonly Finding[] => {
    if (signature === "not-checked") {
        const message = "the signature was not checked, as no trusted keys were given";
        return [{ severity: "information", pointer: "/signature", code: "signature-not-checked", text: message }];
    }
    return signature === "none"
            && Buffer.byteLength(JSON.stringify(text)) + envelopeOverheadBytes > maximumEnvelopeBytes
        ? [newDoubt("", "envelope-too-large", `the signed envelope may have more than ${maximumEnvelopeBytes} bytes`)]
        : [];
};
