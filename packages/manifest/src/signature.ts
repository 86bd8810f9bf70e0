/** Ed25519 signatures over manifests. Several keys may be trusted at the same time, so that keys can be rotated. */

import { getSha256 } from "@anvilmux/common";
import { createPrivateKey, createPublicKey, generateKeyPairSync, sign, verify } from "node:crypto";
import { checkDocument, parseDocument } from "./documents";
import { ManifestError } from "./errors";
import { parseManifest } from "./parseManifest";
import { envelopeSchema } from "./schema";
import type { Envelope, Manifest } from "./schema";

/** Public keys in PEM form by key id. */
export type TrustedKeys = ReadonlyMap<string, string>;

/** A manifest whose signature was checked. */
export interface VerifiedManifest {
    readonly manifest: Manifest;
    /** SHA-256 of the signed text. */
    readonly digest: string;
    readonly keyId: string;
    /** The envelope as submitted. */
    readonly envelopeText: string;
}

export interface SigningKeyPair {
    readonly privateKeyPem: string;
    readonly publicKeyPem: string;
}

export const newSigningKeyPair = (): SigningKeyPair => {
    const { privateKey, publicKey } = generateKeyPairSync("ed25519");
    return {
        privateKeyPem: privateKey.export({ type: "pkcs8", format: "pem" }).toString(),
        publicKeyPem: publicKey.export({ type: "spki", format: "pem" }).toString(),
    };
};

/** Checks and signs manifest text; returns the envelope that `manifest submit` sends. */
export const signManifest = (text: string, keyId: string, privateKeyPem: string): string => {
    parseManifest(text);
    const signature = sign(undefined, Buffer.from(text), createPrivateKey(privateKeyPem)).toString("base64");
    const envelope: Envelope = { keyId, signature, manifest: text };
    return JSON.stringify(envelope);
};

const parseEnvelope = (text: string): Envelope =>
    checkDocument(parseDocument(text, "invalid-envelope"), envelopeSchema, "invalid-envelope");

/** Checks an envelope's signature and its manifest. Throws `ManifestError`. */
export const verifyEnvelope = (text: string, trustedKeys: TrustedKeys): VerifiedManifest => {
    const envelope = parseEnvelope(text);
    const publicKeyPem = trustedKeys.get(envelope.keyId);
    if (!publicKeyPem) {
        throw new ManifestError("unknown-key", [{
            pointer: "/keyId",
            reason: `key "${envelope.keyId}" is not trusted`,
        }]);
    }
    const content = Buffer.from(envelope.manifest);
    if (!verify(undefined, content, createPublicKey(publicKeyPem), Buffer.from(envelope.signature, "base64"))) {
        throw new ManifestError("wrong-signature", [{ pointer: "/signature", reason: "does not match the manifest" }]);
    }
    return {
        manifest: parseManifest(envelope.manifest),
        digest: getSha256(content),
        keyId: envelope.keyId,
        envelopeText: text,
    };
};
