/** JSON with sorted object keys, so that equal documents have equal bytes and digests. */

import { createHash } from "node:crypto";

const sortKeys = (value: unknown): unknown => {
    if (Array.isArray(value)) {
        return value.map(sortKeys);
    }
    if (typeof value !== "object" || !value) {
        return value;
    }
    const entries = Object.entries(value).filter(([, item]) => item !== undefined);
    entries.sort(([left], [right]) => left < right ? -1 : 1);
    return Object.fromEntries(entries.map(([key, item]) => [key, sortKeys(item)]));
};

export const toCanonicalJson = (value: unknown): string => JSON.stringify(sortKeys(value));

/** Lower-case hexadecimal SHA-256 of text or bytes. */
export const getSha256 = (content: string | Uint8Array): string => createHash("sha256").update(content).digest("hex");
