/**
 * The next change that brings the control group closer to the control instances that run: lives that lost their data
 * folder are replaced, new instances join, and voters that are gone for good leave once others have taken their place.
 */

import type { Address, Milliseconds } from "@anvilmux/common";
import type { GroupMember, MembershipChange } from "@anvilmux/protocol";
import { GroupMemberSchema, MembershipChangeSchema } from "@anvilmux/protocol";
import { create } from "@bufbuild/protobuf";

/** The data folder an instance announces now. */
export interface AnnouncedReplica {
    readonly memberId: string;
    readonly address: Address;
}

export interface RepairInput {
    readonly members: readonly GroupMember[];
    readonly announced: readonly AnnouncedReplica[];
    /** How long the leader has not heard a member; 0 while it does. */
    readonly getSilence: (memberId: string) => Milliseconds;
    /** True for a member that is heard and has nearly everything that is committed. */
    readonly isCaughtUp: (memberId: string) => boolean;
    /** Time since the leader dropped a member; infinite when it did not. */
    readonly getDropAge: (memberId: string) => Milliseconds;
}

export const maximumVoters = 7;
/** Voters that are kept even when one of them is gone. */
export const leastVoters = 3;
/** Silence after which a voter leaves, so that the next loss finds a smaller majority to be enough. */
export const goneAfterMs = 3_500;
/** Announcements outlive their instance for a while; a voter that was dropped may join again after this time. */
export const readmitAfterMs = 15_000;

/** The instance part of a member id. */
export const getInstanceOfMember = (memberId: string): string => memberId.slice(0, memberId.lastIndexOf("~"));

/** Undefined when the group is as it should be. */
export const getNextRepair = (input: RepairInput): MembershipChange | undefined =>
    dropGoneLearner(input) ?? replaceFormerLife(input) ?? admitNewcomer(input) ?? dropGoneVoter(input);

const isOtherLife = (member: GroupMember, announced: AnnouncedReplica): boolean =>
    member.memberId !== announced.memberId
    && getInstanceOfMember(member.memberId) === getInstanceOfMember(announced.memberId);

/** Adds the new life as a learner, promotes it, and removes the old life. */
const replaceFormerLife = (input: RepairInput): MembershipChange | undefined => {
    const { members, announced } = input;
    for (const replica of announced) {
        const former = members.find(member => isOtherLife(member, replica));
        const present = members.find(member => member.memberId === replica.memberId);
        if (former && !present && mayJoin(replica, input)) {
            return addLearner(replica);
        }
        if (former && present?.voter) {
            return remove(former);
        }
        if (former && present && input.isCaughtUp(present.memberId)) {
            return promote(present);
        }
    }
    return undefined;
};

const admitNewcomer = (input: RepairInput): MembershipChange | undefined => {
    const { members, announced } = input;
    for (const replica of announced) {
        const present = members.find(member => member.memberId === replica.memberId);
        if (!present && members.length < maximumVoters && mayJoin(replica, input)) {
            return addLearner(replica);
        }
        if (present && !present.voter && input.isCaughtUp(present.memberId)) {
            return promote(present);
        }
    }
    return undefined;
};

const dropGoneVoter = ({ members, getSilence }: RepairInput): MembershipChange | undefined => {
    const voters = members.filter(member => member.voter);
    const gone = voters.find(member => getSilence(member.memberId) > goneAfterMs);
    return gone && voters.length > leastVoters ? remove(gone) : undefined;
};

const dropGoneLearner = ({ members, getSilence }: RepairInput): MembershipChange | undefined => {
    const gone = members.find(member => !member.voter && getSilence(member.memberId) > goneAfterMs);
    return gone ? remove(gone) : undefined;
};

const mayJoin = (replica: AnnouncedReplica, { getDropAge }: RepairInput): boolean =>
    getDropAge(replica.memberId) > readmitAfterMs;

const promote = (member: GroupMember): MembershipChange => create(MembershipChangeSchema, { promote: member.memberId });

const remove = (member: GroupMember): MembershipChange => create(MembershipChangeSchema, { remove: member.memberId });

const addLearner = (replica: AnnouncedReplica): MembershipChange =>
    create(MembershipChangeSchema, { addLearner: create(GroupMemberSchema, { ...replica, voter: false }) });
