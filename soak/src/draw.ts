/** Draws from a seeded source of random numbers. */

import { pickOne } from "@anvilmux/common";
import type { Random } from "@anvilmux/common";

export const drawBetween = (random: Random, [low, high]: readonly [number, number]): number =>
    low + random.next() * (high - low);

export const drawChance = (random: Random, probability: number): boolean => random.next() < probability;

/** An element of a list that is not empty. */
export const draw = <T>(random: Random, items: readonly T[]): T => pickOne(random, items)!;

/** An element of a list that is not empty, in proportion to the weights. */
export const drawWeighted = <T>(random: Random, items: readonly (readonly [weight: number, item: T])[]): T => {
    let rest = random.next() * items.reduce((sum, [weight]) => sum + weight, 0);
    const found = items.find(([weight]) => {
        rest -= weight;
        return rest < 0;
    });
    return (found ?? items.at(-1)!)[1];
};
