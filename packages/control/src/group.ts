/** The control group's configuration: voters, learners, and changes of one member at a time. */

import type { GroupConfiguration, GroupMember, MembershipChange } from "@anvilmux/protocol";
import { GroupConfigurationSchema, GroupMemberSchema } from "@anvilmux/protocol";
import { create } from "@bufbuild/protobuf";
import { promotionLagEntries } from "./constants";
import { ControlError } from "./errors";

/** True when a member has stored entries and lacks at most `promotionLagEntries` committed ones. */
export const isCaughtUp = (matchIndex: bigint, commitIndex: bigint): boolean =>
    matchIndex > 0n && commitIndex - matchIndex <= BigInt(promotionLagEntries);

export const getVoters = (group: GroupConfiguration): readonly GroupMember[] =>
    group.members.filter(member => member.voter);

export const isVoter = (group: GroupConfiguration, memberId: string): boolean =>
    group.members.some(member => member.voter && member.memberId === memberId);

/** Smallest number of voters that is a majority. */
export const getQuorumSize = (group: GroupConfiguration): number => Math.floor(getVoters(group).length / 2) + 1;

/** True when those voters for which `holds` is true are a majority. */
export const isQuorum = (group: GroupConfiguration, holds: (memberId: string) => boolean): boolean =>
    getVoters(group).filter(member => holds(member.memberId)).length >= getQuorumSize(group);

/** The highest index that a majority of voters has reached. */
export const getQuorumIndex = (group: GroupConfiguration, getIndex: (memberId: string) => bigint): bigint => {
    const indexes = getVoters(group).map(member => getIndex(member.memberId));
    indexes.sort((left, right) => left < right ? 1 : left > right ? -1 : 0);
    return indexes[getQuorumSize(group) - 1] ?? 0n;
};

const withMembers = (members: readonly GroupMember[]): GroupConfiguration =>
    create(GroupConfigurationSchema, { members: [...members] });

/** The configuration after one change. Throws `ControlError` for a change that the group does not allow. */
export const changeGroup = (group: GroupConfiguration, change: MembershipChange): GroupConfiguration => {
    const { addLearner, promote, remove } = change;
    if (addLearner) {
        if (group.members.some(member => member.memberId === addLearner.memberId)) {
            throw new ControlError("already-member", `"${addLearner.memberId}" is a member already`);
        }
        return withMembers([...group.members, create(GroupMemberSchema, { ...addLearner, voter: false })]);
    }
    const name = promote || remove;
    if (!group.members.some(member => member.memberId === name)) {
        throw new ControlError("unknown-member", `"${name}" is not a member of the control group`);
    }
    if (promote) {
        return withMembers(
            group.members.map(member =>
                member.memberId === promote ? create(GroupMemberSchema, { ...member, voter: true }) : member
            ),
        );
    }
    const rest = withMembers(group.members.filter(member => member.memberId !== remove));
    if (getVoters(rest).length === 0) {
        throw new ControlError("last-voter", `"${remove}" is the last voter`);
    }
    return rest;
};
