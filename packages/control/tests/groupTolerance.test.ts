/** The control group keeps the number of losses that it can bear, also after earlier losses that are over. */

import { getVoters } from "@anvilmux/control";
import { RepairedGroup } from "./RepairedGroup";

/** Time after its return within which an instance counts for the group again. */
const catchUpMs = 6_000;
/** The same where the group has three replicas. */
const smallCatchUpMs = 4_000;
/** Time between an instance's end and the arrival of its replacement. */
const replacementDelayMs = 1_000;
/** Time in which an instance's process starts. */
const startupMs = 1_500;
/** A cut that is longer than the time after which unresponsive voters are removed. */
const cutMs = 6_300;

const newGroupWithClaims = async (seed: number, size: number): Promise<RepairedGroup> => {
    const group = new RepairedGroup(seed, size, "none", 4);
    await group.start();
    await group.advance(3_000);
    await grantClaims(group);
    return group;
};

const grantClaims = async (group: RepairedGroup): Promise<void> => {
    for (let round = 0; round < 10; round++) {
        group.proposeClaim();
        await group.advance(100);
    }
};

const cutOff = async (group: RepairedGroup, numbers: readonly number[], duration: number): Promise<void> => {
    group.cutOff(numbers);
    await group.advance(duration);
    group.heal();
};

const getVoterIds = (group: RepairedGroup): readonly string[] =>
    getVoters(group.leader!.replica!.group).map(voter => voter.memberId).sort();

const getRunningIds = (group: RepairedGroup): readonly string[] =>
    group.nodes.filter(node => node.replica).map(node => node.memberId).sort();

const countVoters = (group: RepairedGroup): number => getVoters(group.leader!.replica!.group).length;

/** Some nodes lose their disks at the moment at which all others lose power; then all start again. */
const restartAllWithoutDisksOf = async (
    group: RepairedGroup,
    numbers: readonly number[],
    all: readonly number[] = group.nodes.map(node => node.number),
): Promise<void> => {
    for (const number of all) {
        await (numbers.includes(number) ? group.loseDisk(number) : group.crash(number));
    }
    for (const number of all) {
        await group.startNode(number);
    }
};

describe("a group of six without a majority after two disks were lost", () => {
    test.each([[0, 1], [0, 2], [1, 3], [2, 3]])("%i and %i, once the others are back from a cut", async (...lost) => {
        const group = await newGroupWithClaims(7, 6);
        await cutOff(group, [4, 5], cutMs);
        await group.advance(catchUpMs);
        await grantClaims(group);
        await restartAllWithoutDisksOf(group, lost);
        await group.checkNoClaimLost();
        expect(group.violations).toEqual([]);
    });
});

test("instances that were cut off and are back stay outside the group", async () => {
    const group = await newGroupWithClaims(8, 6);
    await cutOff(group, [4, 5], cutMs);
    await group.advance(catchUpMs);
    expect(countVoters(group)).toBe(6);
});

test("an instance that is announced and does not answer is taken back and removed in turn", async () => {
    const group = await newGroupWithClaims(10, 4);
    await group.crash(3);
    await group.advance(10_000);
    const { commitIndex } = group.leader!.replica!;
    await group.advance(30_000);
    expect([countVoters(group), group.leader!.replica!.commitIndex]).toEqual([3, commitIndex]);
});

test("a group of six shrinks to four voters while two are cut off, which bears one loss less and saves no vote", async () => {
    const group = await newGroupWithClaims(9, 6);
    group.isolate(4);
    group.isolate(5);
    await group.advance(30_000);
    expect(countVoters(group)).toBe(5);
});

test("a lost data folder still counts as a voter when its successor votes, so that the next loss stops the group", async () => {
    const group = await newGroupWithClaims(11, 3);
    const lost = group.nodes.find(node => node !== group.leader)!;
    await group.loseDisk(lost.number);
    await group.startNode(lost.number);
    const isVoting = () => getVoters(group.leader!.replica!.group).some(voter => voter.memberId === lost.memberId);
    for (let wait = 0; wait < 100 && !isVoting(); wait++) {
        await group.advance(50);
    }
    expect(isVoting()).toBe(true);
    await group.crash(group.nodes.find(node => node !== group.leader && node !== lost)!.number);
    await group.advance(5_000);
    let isConfirmed = false;
    void group.leader?.replica?.confirmLeadership().then(result => isConfirmed = result);
    await group.advance(1_000);
    expect(isConfirmed).toBe(true);
});

test("an instance that lost its data folder stays outside the group while its announcement is out of date", async () => {
    const group = await newGroupWithClaims(12, 3);
    const lost = group.nodes.find(node => node !== group.leader)!;
    const formerId = lost.memberId;
    await group.loseDisk(lost.number);
    group.announcedIds.set(lost.number, formerId);
    await group.startNode(lost.number);
    await group.advance(catchUpMs);
    const voters = getVoters(group.leader!.replica!.group).map(voter => voter.memberId);
    expect([voters.length, voters.includes(formerId)]).toEqual([3, false]);
});

test.each([18, 22, 25, 35])("a group of six is not whole again in time after two lost disks, seed %i", async seed => {
    const group = await newGroupWithClaims(seed, 6);
    await restartAllWithoutDisksOf(group, [seed % 6, (seed + 1) % 6]);
    await group.advance(catchUpMs - startupMs);
    expect(getVoterIds(group)).toEqual(getRunningIds(group));
});

describe("an instance gone for good still counts as a voter beside its replacement when the next disk is lost", () => {
    test.each([17, 18, 19, 20])("three replicas, the leader replaced, seed %i", async seed => {
        const group = await newGroupWithClaims(seed, 3);
        const { number } = group.leader!;
        await group.crash(number);
        await group.advance(replacementDelayMs + startupMs);
        const replacement = await group.addNode();
        await group.advance(smallCatchUpMs - startupMs);
        const running = group.nodes.filter(node => node.replica).map(node => node.number);
        await restartAllWithoutDisksOf(group, [running.find(other => other !== replacement.number)!], running);
        await group.advance(smallCatchUpMs);
        expect(getVoterIds(group)).toEqual(getRunningIds(group));
    });
});
