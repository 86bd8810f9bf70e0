/**
 * Seeded exploration of a group that repairs itself, under losses that it has to bear: at most so many instances at once,
 * the next ones only when the former had time to catch up. A failing seed reproduces the same run.
 */

import { RepairedGroup } from "./RepairedGroup";

/** Time in which an instance's process starts. */
const startupMs = 1_500;
/** Time after its return within which an instance counts for the group again, by the number of replicas. */
const getCatchUpMs = (size: number): number => size <= 3 ? 4_000 : 6_000;
const replacementDelayMs = 1_000;
const zones = 3;
const losses = 10;

/** `numbers` are running instances, as many as may be lost at once or fewer. */
type Loss = (group: RepairedGroup, numbers: readonly number[], tolerance: number) => Promise<void>;

const getRunning = (group: RepairedGroup): readonly number[] =>
    group.nodes.filter(node => node.replica).map(node => node.number);

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

const healLater = async (group: RepairedGroup): Promise<void> => {
    await proposeFor(group, 500 + group.random.next() * 8_000);
    group.heal();
};

const cutOff: Loss = async (group, numbers) => {
    numbers.forEach(number => group.isolate(number));
    await healLater(group);
};

/** The instances of a zone stay connected with each other. */
const cutZoneOff: Loss = async (group, [first], tolerance) => {
    const inZone = getRunning(group).filter(number => number % zones === first! % zones);
    group.cutOff(inZone.slice(0, tolerance));
    await healLater(group);
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
    const running = getRunning(group);
    for (const number of running) {
        await (numbers.includes(number) ? group.loseDisk(number) : group.crash(number));
    }
    await group.advance(500 + group.random.next() * 1_500);
    await startAgain(group, running);
};

/** An instance is gone for good; an empty one comes at another address. */
const replaceOne: Loss = async (group, [number]) => {
    await group.crash(number!);
    await proposeFor(group, replacementDelayMs + startupMs);
    await group.addNode();
};

const kinds: readonly Loss[] = [
    cutOff,
    cutZoneOff,
    losePower,
    loseDisks,
    fillDisks,
    losePowerEverywhere,
    replaceOne,
];

const pickRunning = (group: RepairedGroup, count: number): readonly number[] => {
    const ranked = getRunning(group).map(number => ({ number, rank: group.random.next() }));
    ranked.sort((left, right) => left.rank - right.rank);
    return ranked.slice(0, count).map(({ number }) => number);
};

/** Runs losses one after another; returns the violated invariants. */
const explore = async (seed: number, size: number, tolerance: number): Promise<readonly string[]> => {
    const group = new RepairedGroup(seed, size, "none", 4);
    await group.start();
    await proposeFor(group, 3_000);
    for (let loss = 0; loss < losses; loss++) {
        const kind = kinds[group.random.integer(kinds.length)]!;
        await kind(group, pickRunning(group, 1 + group.random.integer(tolerance)), tolerance);
        const granted = group.granted.size;
        await proposeFor(group, getCatchUpMs(size) - startupMs);
        if (group.granted.size === granted) {
            group.violations.push(`nothing was granted in time after loss ${loss} (${kind.name})`);
        }
    }
    await group.checkNoClaimLost();
    return group.violations;
};

describe("a group that repairs itself bears every loss in turn", () => {
    test.each([1, 2, 3, 4, 5, 6, 7, 8, 9, 11, 13])("three replicas, one lost at once, seed %i", async seed => {
        expect(await explore(100 + seed, 3, 1)).toEqual([]);
    });

    test.each([1, 2, 3, 4, 5, 6, 7, 8, 30])("six replicas, two lost at once, seed %i", async seed => {
        expect(await explore(200 + seed, 6, 2)).toEqual([]);
    });

    test.each([1, 2, 3, 4])("eight replicas, two lost at once, seed %i", async seed => {
        expect(await explore(300 + seed, 8, 2)).toEqual([]);
    });
});
