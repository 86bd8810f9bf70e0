/** Membership changes that adapt the control group to the running instances. */

import { toAddress } from "@anvilmux/common";
import { changeGroup, getNextRepair, maximumVoters, memberTimeoutMs } from "@anvilmux/control";
import type { AnnouncedReplica } from "@anvilmux/control";
import { GroupConfigurationSchema, GroupMemberSchema } from "@anvilmux/protocol";
import type { GroupConfiguration } from "@anvilmux/protocol";
import { create } from "@bufbuild/protobuf";

const newGroup = (...memberIds: readonly string[]): GroupConfiguration =>
    create(GroupConfigurationSchema, {
        members: memberIds.map(memberId => create(GroupMemberSchema, { memberId, address: memberId, voter: true })),
    });

const announce = (...memberIds: readonly string[]): readonly AnnouncedReplica[] =>
    memberIds.map(memberId => ({ memberId, address: toAddress(memberId) }));

/** Applies repairs until none is needed and returns the members, learners marked `?`. */
const repairAll = (
    group: GroupConfiguration,
    announced: readonly AnnouncedReplica[],
    unresponsive: readonly string[] = [],
) => {
    let current = group;
    for (let step = 0; step < 50; step++) {
        const change = getNextRepair({
            members: current.members,
            candidates: announced.filter(({ memberId }) =>
                !unresponsive.includes(memberId) && !current.members.some(member => member.memberId === memberId)
            ),
            getTimeSinceContact: memberId => unresponsive.includes(memberId) ? memberTimeoutMs + 1 : 0,
            isCaughtUp: memberId => !unresponsive.includes(memberId),
        });
        if (!change) {
            return current.members.map(member => `${member.memberId}${member.voter ? "" : "?"}`).sort();
        }
        current = changeGroup(current, change);
    }
    throw new Error("repairs did not converge");
};

describe("repair of the control group", () => {
    test("a complete group needs no change", () => {
        expect(repairAll(newGroup("a~1", "b~1", "c~1"), announce("a~1", "b~1", "c~1"))).toEqual(["a~1", "b~1", "c~1"]);
    });

    test("the new incarnation of an instance that lost its data folder replaces the former one", () => {
        const announced = announce("a~1", "b~1", "c~2");
        expect(repairAll(newGroup("a~1", "b~1", "c~1"), announced, ["c~1"])).toEqual(["a~1", "b~1", "c~2"]);
    });

    test("a new instance joins, and an unresponsive voter is removed", () => {
        const announced = announce("a~1", "b~1", "d~1");
        expect(repairAll(newGroup("a~1", "b~1", "c~1"), announced, ["c~1"])).toEqual(["a~1", "b~1", "d~1"]);
    });

    test("an unresponsive voter is removed although still announced, and is not readmitted while it does not answer", () => {
        const announced = announce("a~1", "b~1", "c~1", "d~1");
        expect(repairAll(newGroup("a~1", "b~1", "c~1", "d~1"), announced, ["c~1"])).toEqual(["a~1", "b~1", "d~1"]);
    });

    test("an announced but unresponsive instance never becomes a voter", () => {
        const announced = announce("a~1", "b~1", "c~1", "gone~1");
        const group = newGroup("a~1", "b~1", "c~1");
        expect(repairAll(group, announced, ["gone~1"])).toEqual(["a~1", "b~1", "c~1"]);
    });

    test("without a replacement an unresponsive voter stays, so that it can return", () => {
        const announced = announce("a~1", "b~1");
        expect(repairAll(newGroup("a~1", "b~1", "c~1"), announced, ["c~1"])).toEqual(["a~1", "b~1", "c~1"]);
    });

    test("the group grows to its maximum size and no further", () => {
        const names = Array.from({ length: 12 }, (_, number) => `n${number}~1`);
        expect(repairAll(newGroup(...names.slice(0, 3)), announce(...names))).toHaveLength(maximumVoters);
    });
});
