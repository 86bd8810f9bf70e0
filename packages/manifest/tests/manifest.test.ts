/** Manifests: JSON pointers of faults, signatures, and the committed JSON Schema. */

import {
    getManifestJsonSchema,
    ManifestError,
    newSigningKeyPair,
    parseManifest,
    signManifest,
    verifyEnvelope,
} from "@anvilmux/manifest";
import { readFileSync } from "node:fs";
import { newIndexManifest, newRiderDeskManifest } from "../../../anvilmux-daemon/src/sampleManifests";

const getPointers = (document: unknown): readonly string[] => {
    try {
        parseManifest(JSON.stringify(document));
        return [];
    }
    catch (error) {
        return error instanceof ManifestError ? error.faults.map(fault => fault.pointer) : [String(error)];
    }
};

describe("manifests", () => {
    test("both sample manifests are valid", () => {
        expect(parseManifest(JSON.stringify(newRiderDeskManifest(1))).version).toBe(1);
        expect(parseManifest(JSON.stringify(newIndexManifest(2))).version).toBe(2);
    });

    test("errors give a JSON pointer for every fault", () => {
        expect(getPointers({ format: 1, version: 0, services: [{ name: "a", kinds: [] }], extra: 1 }))
            .toEqual(["/version", "/services/0/kinds", ""]);
        const caller = { name: "c", team: "nobody", tokenSha256: "0".repeat(64), services: [{ service: "gone" }] };
        expect(getPointers({ format: 1, version: 1, callers: [caller] })).toEqual([
            "/callers/0/team",
            "/callers/0/services/0/service",
        ]);
        expect(getPointers({ format: 1, version: 1, teams: [{ name: "a" }, { name: "a" }] })).toEqual([
            "/teams/1/name",
        ]);
    });

    test("only unchanged text signed by a trusted key is accepted", () => {
        const keys = newSigningKeyPair();
        const envelope = signManifest(JSON.stringify(newRiderDeskManifest(1)), "release", keys.privateKeyPem);
        const trusted = new Map([["release", keys.publicKeyPem]]);
        expect(verifyEnvelope(envelope, trusted).manifest.version).toBe(1);
        expect(() => verifyEnvelope(envelope.replace("touring", "tourinG"), trusted)).toThrow("does not match");
        expect(() => verifyEnvelope(envelope, new Map())).toThrow("key \"release\" is not trusted");
        const other = new Map([["release", newSigningKeyPair().publicKeyPem]]);
        expect(() => verifyEnvelope(envelope, other)).toThrow("does not match");
    });

    test("the committed JSON Schema is the one that the code generates", () => {
        const committed = JSON.parse(readFileSync("docs/manifest.schema.json", "utf8")) as unknown;
        expect(committed).toEqual(JSON.parse(JSON.stringify(getManifestJsonSchema())));
    });
});
