/** Parsing of manifests: validation against the schema, then checks for duplicate names and unknown references. */

import { maximumManifestBytes } from "./constants";
import { checkDocument, parseDocument } from "./documents";
import { ManifestError } from "./errors";
import type { ManifestFault } from "./errors";
import { manifestSchema } from "./schema";
import type { Manifest } from "./schema";

const findDuplicates = (pointer: string, items: readonly { readonly name: string; }[]): readonly ManifestFault[] =>
    items.flatMap((item, index) =>
        items.findIndex(other => other.name === item.name) < index
            ? [{ pointer: `${pointer}/${index}/name`, reason: `"${item.name}" is defined twice` }]
            : []
    );

const findUnknownReferences = (manifest: Manifest): readonly ManifestFault[] => {
    const teams = new Set(manifest.teams.map(team => team.name));
    const services = new Map(manifest.services.map(service => [service.name, service]));
    return manifest.callers.flatMap((caller, callerIndex) => {
        const faults: ManifestFault[] = [];
        if (!teams.has(caller.team)) {
            faults.push({ pointer: `/callers/${callerIndex}/team`, reason: `team "${caller.team}" does not exist` });
        }
        caller.services.forEach((permission, index) => {
            const pointer = `/callers/${callerIndex}/services/${index}`;
            const service = services.get(permission.service);
            if (!service) {
                faults.push({
                    pointer: `${pointer}/service`,
                    reason: `service "${permission.service}" does not exist`,
                });
                return;
            }
            permission.kinds?.forEach((kind, kindIndex) => {
                if (!service.kinds.some(candidate => candidate.name === kind)) {
                    faults.push({
                        pointer: `${pointer}/kinds/${kindIndex}`,
                        reason: `work kind "${kind}" does not exist in service "${service.name}"`,
                    });
                }
            });
        });
        return faults;
    });
};

/** Checks a decoded document. Throws `ManifestError` listing every schema fault or, if none, every name fault. */
export const checkManifest = (document: unknown): Manifest => {
    const manifest = checkDocument(document, manifestSchema, "invalid-manifest");
    const faults = [
        ...findDuplicates("/services", manifest.services),
        ...manifest.services.flatMap((service, index) => findDuplicates(`/services/${index}/kinds`, service.kinds)),
        ...findDuplicates("/teams", manifest.teams),
        ...findDuplicates("/callers", manifest.callers),
        ...findUnknownReferences(manifest),
    ];
    if (faults.length > 0) {
        throw new ManifestError("invalid-manifest", faults);
    }
    return manifest;
};

/** Parses and checks manifest text. */
export const parseManifest = (text: string): Manifest => {
    if (Buffer.byteLength(text) > maximumManifestBytes) {
        throw new ManifestError("manifest-too-large", [{
            pointer: "",
            reason: `more than ${maximumManifestBytes} bytes`,
        }]);
    }
    return checkManifest(parseDocument(text, "invalid-json"));
};
