/** Weights of an owner's relays: the parts of its workers that they get, in proportion to their processor shares. */

export interface RelayWeights {
    readonly byRelay: ReadonlyMap<string, number>;
    readonly total: number;
}

/**
 * The mean weight is 1. A relay whose share is unknown has the mean weight, and all have exactly 1 where no two known
 * shares differ, so that rounding does not decide between equals.
 */
export const getRelayWeights = (
    relays: readonly string[],
    getShare: (relay: string) => number | undefined,
): RelayWeights => {
    const shares = relays.map(getShare);
    const known = shares.filter(share => share !== undefined);
    const areEqual = known.every(share => share === known[0]);
    const mean = known.reduce((sum, share) => sum + share, 0) / known.length;
    const weights = shares.map(share => share === undefined || areEqual ? 1 : share / mean);
    return {
        byRelay: new Map(relays.map((relay, index) => [relay, weights[index]!])),
        total: weights.reduce((sum, weight) => sum + weight, 0),
    };
};
