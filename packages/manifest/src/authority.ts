/**
 * Who may hand over a manifest, in which form, and how it may follow the one in force. Deployments whose pipelines
 * sign use the signed authority; an adapter may bring another one, for instance where the channel itself is trusted.
 */

import { getSha256 } from "@anvilmux/common";
import { parseManifest } from "./parseManifest";
import { envelopeSchema } from "./schema";
import type { Manifest } from "./schema";
import { verifyEnvelope } from "./signature";
import type { TrustedKeys } from "./signature";

/** A manifest read from the text that was handed over. */
export interface ReadManifest {
    readonly manifest: Manifest;
    /** SHA-256 of the content that decides whether two documents are the same. */
    readonly digest: string;
}

/** Whether a document may follow the one in force. `known` is acknowledged and changes nothing. */
export type Succession =
    | { readonly kind: "accepted"; }
    | { readonly kind: "known"; }
    | { readonly kind: "refused"; readonly reason: string; readonly detail: string; };

export interface ManifestAuthority {
    /** Reads and checks a document as handed over. Throws `ManifestError`. */
    readonly verify: (text: string) => ReadManifest;
    /** Reads a document that was verified before. Throws `ManifestError`. */
    readonly read: (text: string) => ReadManifest;
    readonly judge: (current: ReadManifest, candidate: ReadManifest) => Succession;
}

export const newSignedAuthority = (trustedKeys: TrustedKeys): ManifestAuthority => ({
    verify: text => verifyEnvelope(text, trustedKeys),
    read: readSignedEnvelope,
    judge: judgeStrictSuccession,
});

const readSignedEnvelope = (text: string): ReadManifest => {
    const { manifest } = envelopeSchema.parse(JSON.parse(text));
    return { manifest: parseManifest(manifest), digest: getSha256(manifest) };
};

/** Versions rise; a version has one content; a service ends only when the next manifest names it as dropped. */
export const judgeStrictSuccession = (current: ReadManifest, candidate: ReadManifest): Succession => {
    const { version } = candidate.manifest;
    const currentVersion = current.manifest.version;
    if (version === currentVersion) {
        return candidate.digest === current.digest
            ? { kind: "known" }
            : { kind: "refused", reason: "conflicting-version", detail: `version ${version} has other content` };
    }
    if (version < currentVersion) {
        return { kind: "refused", reason: "stale-version", detail: `version ${currentVersion} is in force` };
    }
    const dropped = getSilentlyDroppedServices(current.manifest, candidate.manifest);
    if (dropped.length > 0) {
        const detail = `/droppedServices does not name: ${dropped.join(", ")}`;
        return { kind: "refused", reason: "dropped-service", detail };
    }
    return { kind: "accepted" };
};

/** The highest version is in force; whatever is not higher is acknowledged and changes nothing. */
export const judgeHighestVersion = (current: ReadManifest, candidate: ReadManifest): Succession =>
    candidate.manifest.version > current.manifest.version ? { kind: "accepted" } : { kind: "known" };

/** Services of `current` that `candidate` neither defines nor names as dropped. */
const getSilentlyDroppedServices = (current: Manifest, candidate: Manifest): readonly string[] => {
    const kept = new Set([...candidate.services.map(service => service.name), ...candidate.droppedServices]);
    return current.services.map(service => service.name).filter(name => !kept.has(name));
};
