/**
 * Selects the next membership change that adapts the control group to the running control instances. A member id names
 * an instance and an incarnation of its data folder: an instance that lost its data folder is replaced by its new
 * incarnation, new instances join, and unresponsive voters are removed once others have taken their place.
 */

import type { Address, Milliseconds } from "@anvilmux/common";
import type { GroupMember, MembershipChange } from "@anvilmux/protocol";
import { GroupMemberSchema, MembershipChangeSchema } from "@anvilmux/protocol";
import { create } from "@bufbuild/protobuf";

/** The data folder that an instance announces. */
export interface AnnouncedReplica {
    readonly memberId: string;
    readonly address: Address;
}

export interface RepairInput {
    readonly members: readonly GroupMember[];
    /** Announced replicas that answer at their address. */
    readonly answering: readonly AnnouncedReplica[];
    /** Time since the leader's last contact with a member; 0 while it is reachable. */
    readonly getTimeSinceContact: (memberId: string) => Milliseconds;
    /** True for a reachable member that lacks only a few committed entries. */
    readonly isCaughtUp: (memberId: string) => boolean;
}

export const maximumVoters = 7;
/** At this number of voters or fewer, unresponsive ones are kept. */
export const minimumVoters = 3;
/** Time without contact after which a member may be removed, so that a smaller majority suffices at the next failure. */
export const memberTimeoutMs = 3_500;

/** The instance part of a member id. */
export const getInstanceOfMember = (memberId: string): string => memberId.slice(0, memberId.lastIndexOf("~"));

/** Undefined when no change is needed. */
export const getNextRepair = (input: RepairInput): MembershipChange | undefined =>
    removeUnresponsiveLearner(input) ?? replaceFormerIncarnation(input) ?? admitNewMember(input)
        ?? removeUnresponsiveVoter(input);

const isOtherIncarnation = (member: GroupMember, announced: AnnouncedReplica): boolean =>
    member.memberId !== announced.memberId
    && getInstanceOfMember(member.memberId) === getInstanceOfMember(announced.memberId);

/** Adds the new incarnation as a learner, promotes it, and removes the former one. */
const replaceFormerIncarnation = (input: RepairInput): MembershipChange | undefined => {
    const { members, answering } = input;
    for (const replica of answering) {
        const former = members.find(member => isOtherIncarnation(member, replica));
        const present = members.find(member => member.memberId === replica.memberId);
        if (former && !present) {
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

const admitNewMember = (input: RepairInput): MembershipChange | undefined => {
    const { members, answering } = input;
    for (const replica of answering) {
        const present = members.find(member => member.memberId === replica.memberId);
        if (!present && members.length < maximumVoters) {
            return addLearner(replica);
        }
        if (present && !present.voter && input.isCaughtUp(present.memberId)) {
            return promote(present);
        }
    }
    return undefined;
};

/** Only where it lowers the number of votes that a majority needs, or makes room for a replica that waits to join. */
const removeUnresponsiveVoter = ({ members, answering, getTimeSinceContact }: RepairInput) => {
    const voters = members.filter(member => member.voter);
    const unresponsive = voters.find(member => getTimeSinceContact(member.memberId) > memberTimeoutMs);
    const lowersQuorum = voters.length % 2 === 0;
    const isRoomNeeded = members.length >= maximumVoters
        && answering.some(replica => !members.some(member => member.memberId === replica.memberId));
    const isRemovable = voters.length > minimumVoters && (lowersQuorum || isRoomNeeded);
    return unresponsive && isRemovable ? remove(unresponsive) : undefined;
};

const removeUnresponsiveLearner = ({ members, getTimeSinceContact }: RepairInput): MembershipChange | undefined => {
    const unresponsive = members.find(member =>
        !member.voter && getTimeSinceContact(member.memberId) > memberTimeoutMs
    );
    return unresponsive ? remove(unresponsive) : undefined;
};

const promote = (member: GroupMember): MembershipChange => create(MembershipChangeSchema, { promote: member.memberId });

const remove = (member: GroupMember): MembershipChange => create(MembershipChangeSchema, { remove: member.memberId });

const addLearner = (replica: AnnouncedReplica): MembershipChange =>
    create(MembershipChangeSchema, { addLearner: create(GroupMemberSchema, { ...replica, voter: false }) });
