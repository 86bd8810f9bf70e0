/**
 * Defines how submitted manifests are authenticated and decoded, and which ones may replace the active manifest.
 * Deployments whose pipelines sign manifests use the signed authority; an adapter may provide another one, for
 * example where the channel itself is trusted.
 */

import { getSha256 } from "@anvilmux/common";
import { parseManifest } from "./parseManifest";
import { envelopeSchema } from "./schema";
import type { Manifest } from "./schema";
import { verifyEnvelope } from "./signature";
import type { TrustedKeys } from "./signature";

/** A manifest with the digest that identifies its content. */
export interface ParsedManifest {
    readonly manifest: Manifest;
    /** SHA-256 of the content that determines whether two documents are the same. */
    readonly digest: string;
}

/** Whether a document may replace the active one. A `known` document is acknowledged and changes nothing. */
export type UpdateDecision =
    | { readonly kind: "accepted"; }
    | { readonly kind: "known"; }
    | { readonly kind: "refused"; readonly reason: string; readonly detail: string; };

export interface ManifestAuthority {
    /** Authenticates and decodes a submitted document. Throws `ManifestError`. */
    readonly verify: (text: string) => ParsedManifest;
    /**
     * Decodes a document that another instance verified; authenticates it as well where it proves its own origin. Throws
     * when it cannot be decoded or authenticated.
     */
    readonly verifyReceived: (text: string) => ParsedManifest;
    /** Decodes a document that was verified before. Throws when it cannot be decoded. */
    readonly read: (text: string) => ParsedManifest;
    /** Decides whether `candidate` may replace `current`. */
    readonly decideUpdate: (current: ParsedManifest, candidate: ParsedManifest) => UpdateDecision;
}

export const newSignedAuthority = (trustedKeys: TrustedKeys): ManifestAuthority => ({
    verify: text => verifyEnvelope(text, trustedKeys),
    verifyReceived: text => verifyEnvelope(text, trustedKeys),
    read: readSignedEnvelope,
    decideUpdate: decideStrictUpdate,
});

const readSignedEnvelope = (text: string): ParsedManifest => {
    const { manifest } = envelopeSchema.parse(JSON.parse(text));
    return { manifest: parseManifest(manifest), digest: getSha256(manifest) };
};

/** Requires increasing versions, a single content per version, and a declaration of every dropped service. */
export const decideStrictUpdate = (current: ParsedManifest, candidate: ParsedManifest): UpdateDecision => {
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
    const undeclared = getUndeclaredDroppedServices(current.manifest, candidate.manifest);
    if (undeclared.length > 0) {
        const detail = `/droppedServices does not name: ${undeclared.join(", ")}`;
        return { kind: "refused", reason: "dropped-service", detail };
    }
    return { kind: "accepted" };
};

/** Accepts only a higher version; any other is acknowledged and changes nothing. */
export const decideByHighestVersion = (current: ParsedManifest, candidate: ParsedManifest): UpdateDecision =>
    candidate.manifest.version > current.manifest.version ? { kind: "accepted" } : { kind: "known" };

/** Services of `current` that `candidate` neither defines nor names as dropped. */
const getUndeclaredDroppedServices = (current: Manifest, candidate: Manifest): readonly string[] => {
    const kept = new Set([...candidate.services.map(service => service.name), ...candidate.droppedServices]);
    return current.services.map(service => service.name).filter(name => !kept.has(name));
};
