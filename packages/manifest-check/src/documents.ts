/**
 * Reading of the documents of a check: manifests, signed envelopes, and the form in which instances show a manifest.
 */

import { getSha256 } from "@anvilmux/common";
import {
    checkDocument,
    checkManifest,
    envelopeSchema,
    ManifestError,
    maximumEnvelopeBytes,
    parseDocument,
    parseManifest,
    verifyEnvelope,
} from "@anvilmux/manifest";
import type { ParsedManifest, TrustedKeys } from "@anvilmux/manifest";
import * as z from "zod";
import type { ServedServices } from "./unmatchedEntries";

/** A manifest that control would read, and whether its signature was verified. */
export interface ReadCandidate extends ParsedManifest {
    readonly signature: "none" | "verified" | "not-checked";
}

/** What `GET /v1/manifests/current` and `anvilmux manifest show` return. */
const shownManifestSchema = z.object({ digest: z.string(), manifest: z.record(z.string(), z.unknown()) });

const announcementsSchema = z.array(z.object({ service: z.string().optional() }));

const requireSize = (text: string): void => {
    if (Buffer.byteLength(text) > maximumEnvelopeBytes) {
        throw new ManifestError("envelope-too-large", [{
            pointer: "",
            reason: `more than ${maximumEnvelopeBytes} bytes`,
        }]);
    }
};

/** Tells envelopes from manifests by the fields that only envelopes have. */
const isEnvelope = (document: unknown): boolean =>
    typeof document === "object" && !!document && ("signature" in document || "keyId" in document);

/**
 * Reads a manifest or an envelope by the rules of control. Throws `ManifestError`. Without trusted keys the signature
 * of an envelope is not verified.
 */
export const readCandidate = (text: string, trustedKeys?: TrustedKeys): ReadCandidate => {
    requireSize(text);
    if (!isEnvelope(parseDocument(text, "invalid-json"))) {
        return { manifest: parseManifest(text), digest: getSha256(text), signature: "none" };
    }
    if (trustedKeys) {
        const { manifest, digest } = verifyEnvelope(text, trustedKeys);
        return { manifest, digest, signature: "verified" };
    }
    const envelope = checkDocument(parseDocument(text, "invalid-envelope"), envelopeSchema, "invalid-envelope");
    const content = envelope.manifest;
    return { manifest: parseManifest(content), digest: getSha256(content), signature: "not-checked" };
};

/** Reads the manifest in force: a manifest, an envelope, or the output of `manifest show`. Throws `ManifestError`. */
export const readCurrent = (text: string): ParsedManifest => {
    const shown = shownManifestSchema.safeParse(parseDocument(text, "invalid-json"));
    if (shown.success) {
        return { manifest: checkManifest(shown.data.manifest), digest: shown.data.digest };
    }
    const { manifest, digest } = readCandidate(text);
    return { manifest, digest };
};

/**
 * The services that the lists of an instance (`/v1/upstreams`, `/v1/workers`) show to be served. Announcements of
 * workers that may run the tasks of any service name none, and then nothing is known about the workers of a queue.
 */
export const readServedServices = (upstreams: unknown, workers: unknown): ServedServices => {
    const ofWorkers = listServices(workers);
    const areWorkersKnown = ofWorkers.length > 0 && !ofWorkers.includes(undefined);
    return {
        ofUpstreams: getNamed(listServices(upstreams)),
        ...(areWorkersKnown ? { ofWorkers: getNamed(ofWorkers) } : {}),
    };
};

const listServices = (announcements: unknown): readonly (string | undefined)[] =>
    announcementsSchema.parse(announcements).map(announcement => announcement.service);

const getNamed = (services: readonly (string | undefined)[]): ReadonlySet<string> =>
    new Set(services.filter(service => service !== undefined));
