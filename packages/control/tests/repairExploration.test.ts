/**
 * Seeded exploration of a group that repairs itself, under losses that it has to bear: at most so many instances at once,
 * the next ones only when the former had time to catch up. A failing seed reproduces the same run.
 */

import { RepairedGroup } from "./RepairedGroup";

const catchUpMs = 6_000;
const losses = 8;

type Loss = (group: RepairedGroup, numbers: readonly number[]) => Promise<void>;

const proposeFor = async (group: RepairedGroup, duration: number): Promise<void> => {
    for (let elapsed = 0; elapsed < duration; elapsed += 200) {
        group.proposeClaim();
        await group.advance(200);
    }
};

const startAgain = async (group: RepairedGroup, numbers: readonly number[]): Promise<void> => {
    for (const number of numbers) {
        await group.startNode(number);
    }
};

const cutOff: Loss = async (group, numbers) => {
    numbers.forEach(number => group.isolate(number));
    await proposeFor(group, 500 + group.random.next() * 8_000);
    group.heal();
};

const losePower: Loss = async (group, numbers) => {
    for (const number of numbers) {
        await group.crash(number);
    }
    await proposeFor(group, group.random.next() * 8_000);
    await startAgain(group, numbers);
};

const loseDisks: Loss = async (group, numbers) => {
    for (const number of numbers) {
        await group.loseDisk(number);
    }
    await proposeFor(group, group.random.next() * 3_000);
    await startAgain(group, numbers);
};

const fillDisks: Loss = async (group, numbers) => {
    const files = numbers.map(number => group.nodes[number]!.files);
    files.forEach(folder => folder.writeFailure = new Error("ENOSPC: no space left on device"));
    await proposeFor(group, 500 + group.random.next() * 8_000);
    files.forEach(folder => folder.writeFailure = undefined);
};

/** All lose power, some of them their disks as well. */
const losePowerEverywhere: Loss = async (group, numbers) => {
    for (const { number } of group.nodes) {
        await (numbers.includes(number) ? group.loseDisk(number) : group.crash(number));
    }
    await group.advance(500 + group.random.next() * 1_500);
    await startAgain(group, group.nodes.map(node => node.number));
};

const kinds: readonly Loss[] = [cutOff, losePower, loseDisks, fillDisks, losePowerEverywhere];

const pickNumbers = (group: RepairedGroup, count: number): readonly number[] => {
    const numbers = group.nodes.map(node => ({ number: node.number, rank: group.random.next() }));
    numbers.sort((left, right) => left.rank - right.rank);
    return numbers.slice(0, count).map(({ number }) => number);
};

/** Runs losses one after another; returns the violated invariants. */
const explore = async (seed: number, size: number, tolerance: number): Promise<readonly string[]> => {
    const group = new RepairedGroup(seed, size, "none", 4);
    await group.start();
    await proposeFor(group, 3_000);
    for (let loss = 0; loss < losses; loss++) {
        const kind = kinds[group.random.integer(kinds.length)]!;
        await kind(group, pickNumbers(group, 1 + group.random.integer(tolerance)));
        await proposeFor(group, catchUpMs);
        const granted = group.granted.size;
        await proposeFor(group, 2_000);
        if (group.granted.size === granted) {
            group.violations.push(`nothing was granted in 2 s after loss ${loss} (${kind.name})`);
        }
    }
    await group.checkNoClaimLost();
    return group.violations;
};

describe("a group that repairs itself bears every loss in turn", () => {
    test.each([1, 2, 3, 4, 5, 6, 7, 8])("three replicas, one lost at once, seed %i", async seed => {
        expect(await explore(100 + seed, 3, 1)).toEqual([]);
    });

    test.each([1, 2, 3, 4, 5, 6, 7, 8])("six replicas, two lost at once, seed %i", async seed => {
        expect(await explore(200 + seed, 6, 2)).toEqual([]);
    });

    test.each([1, 2, 3, 4])("eight replicas, two lost at once, seed %i", async seed => {
        expect(await explore(300 + seed, 8, 2)).toEqual([]);
    });
});
