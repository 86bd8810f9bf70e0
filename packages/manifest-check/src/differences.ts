/** Differences between two manifests, entry by entry. */

import type { Manifest } from "@anvilmux/manifest";
import { isDeepStrictEqual } from "node:util";

export interface FieldChange {
    readonly field: string;
    /** Absent where the field was added. */
    readonly before?: unknown;
    /** Absent where the field was removed. */
    readonly after?: unknown;
}

export interface Difference {
    readonly kind: "added" | "removed" | "changed";
    /** RFC 6901 pointer into the candidate; into the version in force for a removed entry. */
    readonly pointer: string;
    /** Such as `queue "orders"`. */
    readonly entry: string;
    /** The changed fields of a changed entry; otherwise empty. */
    readonly fields: readonly FieldChange[];
}

/** A named part of a manifest with its place. */
interface Entry {
    readonly pointer: string;
    readonly entry: string;
    readonly value: Readonly<Record<string, unknown>>;
}

export const findDifferences = (current: Manifest, candidate: Manifest): readonly Difference[] => {
    const before = listEntries(current);
    const after = listEntries(candidate);
    const removed = [...before].filter(([key]) => !after.has(key)).map(([, entry]) => toDifference("removed", entry));
    const others = [...after].flatMap(([key, entry]) => {
        const former = before.get(key);
        if (!former) {
            return [toDifference("added", entry)];
        }
        const fields = findFieldChanges(former.value, entry.value);
        return fields.length > 0 ? [toDifference("changed", entry, fields)] : [];
    });
    return [...others, ...removed];
};

const toDifference = (
    kind: Difference["kind"],
    { pointer, entry }: Entry,
    fields: readonly FieldChange[] = [],
): Difference => ({ kind, pointer, entry, fields });

/** All entries by a key that identifies them in both manifests. Work kinds are entries of their own. */
const listEntries = (manifest: Manifest): ReadonlyMap<string, Entry> => {
    const { services, queues, teams, callers, ...rest } = manifest;
    const entries: readonly Entry[] = [
        { pointer: "", entry: "manifest", value: rest },
        ...services.flatMap((service, index) => [
            { pointer: `/services/${index}`, entry: `service "${service.name}"`, value: { name: service.name } },
            ...toEntries(service.kinds, `/services/${index}/kinds`, `service "${service.name}" work kind`),
        ]),
        ...toEntries(queues, "/queues", "queue"),
        ...toEntries(teams, "/teams", "team"),
        ...toEntries(callers, "/callers", "caller"),
    ];
    // Queues may share a name, so the position among entries of one name is a part of the key.
    const counts = new Map<string, number>();
    return new Map(entries.map(entry => {
        const count = counts.get(entry.entry) ?? 0;
        counts.set(entry.entry, count + 1);
        return [`${count} ${entry.entry}`, entry];
    }));
};

const toEntries = (
    items: readonly { readonly name: string; }[],
    pointer: string,
    subject: string,
): readonly Entry[] =>
    items.map((item, index) => ({
        pointer: `${pointer}/${index}`,
        entry: `${subject} "${item.name}"`,
        value: { ...item },
    }));

const findFieldChanges = (
    before: Readonly<Record<string, unknown>>,
    after: Readonly<Record<string, unknown>>,
): readonly FieldChange[] =>
    [...new Set([...Object.keys(before), ...Object.keys(after)])]
        .filter(field => !isDeepStrictEqual(before[field], after[field]))
        .map(field => ({
            field,
            ...(field in before ? { before: before[field] } : {}),
            ...(field in after ? { after: after[field] } : {}),
        }));
