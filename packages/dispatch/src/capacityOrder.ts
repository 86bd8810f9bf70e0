/**
 * The order in which entries of a zone own its workers: the larger processor share first, then the smaller id.
 * Comparing two entries by id wherever one of them announces no share would not be an order (three entries can precede
 * each other in a circle), so one entry without a share makes ids alone decide between all of them, as earlier releases
 * do.
 */

export interface OrderedEntry {
    readonly id: string;
    /** Processors that the entry may use; undefined where it announces none. */
    readonly processorShare?: number | undefined;
}

/** A process with less than a thousandth of a processor does not start in useful time. */
const lowestProcessorShare = 0.001;
/** More than the processors of any machine. */
const highestProcessorShare = 4_096;

/** True for a share that an entry may announce. */
export const isProcessorShare = (value: unknown): value is number =>
    typeof value === "number" && value >= lowestProcessorShare && value <= highestProcessorShare;

/** The entries, the one that is to own the workers first. */
export const sortByCapacity = <Entry extends OrderedEntry>(entries: readonly Entry[]): readonly Entry[] => {
    const areSharesKnown = entries.every(({ processorShare }) => processorShare !== undefined);
    const getShare = ({ processorShare }: OrderedEntry): number => areSharesKnown ? processorShare! : 0;
    return [...entries].sort((one, other) => getShare(other) - getShare(one) || (one.id < other.id ? -1 : 1));
};
