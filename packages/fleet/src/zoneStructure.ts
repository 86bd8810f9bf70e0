/**
 * The structure of a zone's connections: a star around the owner of the workers and a few leading entries, of which one
 * becomes the next owner. Every entry derives it from the same order, so no entry has to be told. The number of connections of
 * an ordinary entry does not depend on the size of the zone.
 */

/** An entry of the zone as seen by the one that decides. */
export interface StructuredEntry {
    readonly id: string;
    /** The last attempt to connect to it failed, or its connection was closed. */
    readonly isUnreachable: boolean;
    /** It leaves, or has had no configuration for a while. */
    readonly isIneligible: boolean;
}

/**
 * Number of leading entries in a zone without failures: the owner and two others, since the loss of two instances has to be borne.
 */
const leadingCount = 3;

/**
 * The first entries in the order of `entries` up to the last leading one. Unreachable entries among them are tried again;
 * each makes one more entry a leading one, so that the next attempts reach twice as many after several failed at once.
 */
export const getLeadingEntries = <Entry extends StructuredEntry>(entries: readonly Entry[]): readonly Entry[] => {
    const leading: Entry[] = [];
    let missing = leadingCount;
    for (const entry of entries) {
        if (missing === 0) {
            break;
        }
        leading.push(entry);
        if (entry.isUnreachable) {
            missing += 1;
        }
        else if (!entry.isIneligible) {
            missing -= 1;
        }
    }
    return leading;
};
