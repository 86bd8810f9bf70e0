/** Changes that bring the control group closer to the instances that run. */

import { toAddress } from "@anvilmux/common";
import { changeGroup, getNextRepair, goneAfterMs, maximumVoters } from "@anvilmux/control";
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

/** Applies repairs until there is none; members silent for good are named. */
const repairAll = (
    group: GroupConfiguration,
    announced: readonly AnnouncedReplica[],
    silent: readonly string[] = [],
) => {
    let current = group;
    const dropped = new Set<string>();
    for (let step = 0; step < 50; step++) {
        const change = getNextRepair({
            members: current.members,
            announced,
            getSilence: memberId => silent.includes(memberId) ? goneAfterMs + 1 : 0,
            isCaughtUp: memberId => !silent.includes(memberId),
            getDropAge: memberId => dropped.has(memberId) ? 0 : Infinity,
        });
        if (!change) {
            return current.members.map(member => `${member.memberId}${member.voter ? "" : "?"}`).sort();
        }
        dropped.add(change.remove);
        current = changeGroup(current, change);
    }
    throw new Error("repairs do not end");
};

describe("repair of the control group", () => {
    test("a whole group needs none", () => {
        expect(repairAll(newGroup("a~1", "b~1", "c~1"), announce("a~1", "b~1", "c~1"))).toEqual(["a~1", "b~1", "c~1"]);
    });

    test("an instance that lost its data folder replaces its former life", () => {
        const announced = announce("a~1", "b~1", "c~2");
        expect(repairAll(newGroup("a~1", "b~1", "c~1"), announced, ["c~1"])).toEqual(["a~1", "b~1", "c~2"]);
    });

    test("a new instance joins, and a voter that is gone for good leaves", () => {
        const announced = announce("a~1", "b~1", "d~1");
        expect(repairAll(newGroup("a~1", "b~1", "c~1"), announced, ["c~1"])).toEqual(["a~1", "b~1", "d~1"]);
    });

    test("a silent voter leaves although it is announced for a while, and does not join again at once", () => {
        const announced = announce("a~1", "b~1", "c~1", "d~1");
        expect(repairAll(newGroup("a~1", "b~1", "c~1", "d~1"), announced, ["c~1"])).toEqual(["a~1", "b~1", "d~1"]);
    });

    test("an instance that is announced but not heard never becomes a voter", () => {
        const announced = announce("a~1", "b~1", "c~1", "gone~1");
        const group = newGroup("a~1", "b~1", "c~1");
        expect(repairAll(group, announced, ["gone~1"])).toEqual(["a~1", "b~1", "c~1"]);
    });

    test("without a successor a silent voter stays, so that it can come back", () => {
        const announced = announce("a~1", "b~1");
        expect(repairAll(newGroup("a~1", "b~1", "c~1"), announced, ["c~1"])).toEqual(["a~1", "b~1", "c~1"]);
    });

    test("the group grows to its limit and no further", () => {
        const names = Array.from({ length: 12 }, (_, number) => `n${number}~1`);
        expect(repairAll(newGroup(...names.slice(0, 3)), announce(...names))).toHaveLength(maximumVoters);
    });
});
