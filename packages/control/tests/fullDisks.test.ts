/** Disks that are full for some seconds, one after another, never two at once. */

import { RepairedGroup } from "./RepairedGroup";
import { ReplicaGroup } from "./ReplicaGroup";

const fullMs = 4_000;
const pauseMs = 2_000;
/** Time within which a change must be acknowledged while the group is stable. */
const acknowledgementMs = 5_000;

const proposeFor = async (group: RepairedGroup, duration: number): Promise<void> => {
    for (let elapsed = 0; elapsed < duration; elapsed += 250) {
        group.proposeClaim();
        await group.advance(250);
    }
};

const fillDisksInTurn = async (group: RepairedGroup, first: number): Promise<void> => {
    for (let turn = 0; turn < group.nodes.length; turn++) {
        const { files } = group.nodes[(first + turn) % group.nodes.length]!;
        files.writeFailure = new Error("ENOSPC: no space left on device");
        await proposeFor(group, fullMs);
        files.writeFailure = undefined;
        await proposeFor(group, pauseMs);
    }
};

describe("changes stay unanswered after disks were full in turn", () => {
    test.each([[3, 0], [3, 1], [3, 2], [6, 0], [6, 3]])("%i replicas, beginning with %i", async (size, first) => {
        const group = new RepairedGroup(31 + first, size, "none", 4);
        await group.start();
        await group.advance(2_000);
        await fillDisksInTurn(group, first);
        await fillDisksInTurn(group, first);
        const before = group.granted.size;
        await proposeFor(group, acknowledgementMs);
        expect(group.granted.size).toBeGreaterThan(before + 5);
        await group.checkNoClaimLost();
        expect(group.violations).toEqual([]);
    });
});

test("a replica whose disk is full ends its process when another one is in a later term", async () => {
    const group = new ReplicaGroup(41, 3);
    await group.start();
    const [behind, ...others] = group.nodes;
    group.isolate(behind!.number);
    await group.advance(3_000);
    for (let election = 0; election < 3; election++) {
        const { leader } = group;
        await group.crash(leader!.number);
        await group.startNode(leader!.number);
        await group.advance(3_000);
    }
    expect(others.some(node => node.replica!.currentTerm > behind!.replica!.currentTerm)).toBe(true);
    behind!.files.writeFailure = new Error("ENOSPC: no space left on device");
    group.heal();
    await group.advance(3_000);
    expect(group.warnings).toContain("term not saved");
});
