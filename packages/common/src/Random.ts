/** Seeded pseudo-random numbers, so that a run can be reproduced exactly. */

import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

export interface Random {
    /** A number in [0, 1). */
    next(): number;
    /** An integer in [0, limit). */
    integer(limit: number): number;
}

const unitSteps = 0x7fffffff;

export const newRandom = (seed: number): Random => {
    const generator = xoroshiro128plus(seed);
    return {
        next: () => uniformInt(generator, 0, unitSteps - 1) / unitSteps,
        integer: limit => uniformInt(generator, 0, Math.max(0, limit - 1)),
    };
};

/** A random element; undefined for an empty list. */
export const pickOne = <T>(random: Random, items: readonly T[]): T | undefined =>
    items.length === 0 ? undefined : items[random.integer(items.length)];

/** A sample from the exponential distribution with the given mean. */
export const sampleExponential = (random: Random, mean: number): number => -mean * Math.log(1 - random.next());
