/** Values of the command's options. Throws a `SoakError` that names the option. */

import { SoakError } from "./errors";

const seedsPattern = /^(\d+)(?:-(\d+))?$/;
const maximumSeeds = 10_000;

/** A whole number from 1 to `maximum`. */
export const parseCount = (name: string, value: unknown, maximum: number): number => {
    const count = Number(value);
    if (!Number.isInteger(count) || count < 1 || count > maximum) {
        throw new SoakError(
            "invalid-option",
            `--${name}: "${String(value)}" is not a whole number from 1 to ${maximum}`,
        );
    }
    return count;
};

/** Seeds and ranges of seeds, such as `3,8,20-25`. */
export const parseSeeds = (value: unknown): readonly number[] => {
    const seeds = String(value).split(",").flatMap(parseRange);
    if (seeds.length > maximumSeeds) {
        throw new SoakError("invalid-option", `--seeds: more than ${maximumSeeds} seeds`);
    }
    return seeds;
};

const parseRange = (text: string): readonly number[] => {
    const [, first, last = first] = seedsPattern.exec(text) ?? [];
    const count = Number(last) - Number(first) + 1;
    if (!(count > 0 && count <= maximumSeeds)) {
        throw new SoakError("invalid-option", `--seeds: "${text}" is neither a seed nor a range of seeds`);
    }
    return Array.from({ length: count }, (_, index) => Number(first) + index);
};
