/**
 * Selects the next membership change that adapts the control group to the running control instances. A member id names
 * an instance and an incarnation of its data folder: an instance that lost its data folder is replaced by its new
 * incarnation, new instances join, and unresponsive voters are removed once others have taken their place.
 */

import type { Milliseconds } from "@anvilmux/common";
import type { GroupMember, MembershipChange } from "@anvilmux/protocol";
import { GroupMemberSchema, MembershipChangeSchema } from "@anvilmux/protocol";
import { create } from "@bufbuild/protobuf";
import type { AnnouncedReplica } from "./findCandidates";

export interface RepairInput {
    readonly members: readonly GroupMember[];
    /** Replicas outside the group that answer at their address. */
    readonly candidates: readonly AnnouncedReplica[];
    /** Time since the leader's last contact with a member; 0 while it is reachable. */
    readonly getTimeSinceContact: (memberId: string) => Milliseconds;
    /** True for a reachable member that lacks only a few committed entries. */
    readonly isCaughtUp: (memberId: string) => boolean;
}

export const maximumVoters = 7;
/** At this number of voters or fewer, unresponsive ones are kept. */
export const minimumVoters = 3;
/** Time without contact after which a member may be removed, so that a smaller majority suffices at the next failure. */
export const memberTimeoutMs = 1_500;

/** The instance part of a member id. */
export const getInstanceOfMember = (memberId: string): string => memberId.slice(0, memberId.lastIndexOf("~"));

/** Undefined when no change is needed. */
export const getNextRepair = (input: RepairInput): MembershipChange | undefined =>
    removeUnresponsiveLearner(input) ?? removeFormerIncarnation(input) ?? promoteLearner(input)
        ?? admitCandidate(input) ?? removeUnresponsiveVoter(input);

/** The former incarnation never votes again; it goes first, so that no majority has to be found beside it. */
const removeFormerIncarnation = ({ members, candidates, isCaughtUp }: RepairInput): MembershipChange | undefined => {
    const instances = new Set(candidates.map(candidate => getInstanceOfMember(candidate.memberId)));
    const former = members.find(member =>
        instances.has(getInstanceOfMember(member.memberId)) && !isCaughtUp(member.memberId)
    );
    return former && members.length > 1 ? remove(former) : undefined;
};

const promoteLearner = ({ members, isCaughtUp }: RepairInput): MembershipChange | undefined => {
    const learner = members.find(member => !member.voter && isCaughtUp(member.memberId));
    return learner && create(MembershipChangeSchema, { promote: learner.memberId });
};

/** An instance with a new data folder waits until the former one is removed. */
const admitCandidate = ({ members, candidates }: RepairInput): MembershipChange | undefined => {
    const instances = new Set(members.map(member => getInstanceOfMember(member.memberId)));
    const candidate = candidates.find(({ memberId }) => !instances.has(getInstanceOfMember(memberId)));
    return candidate && members.length < maximumVoters ? addLearner(candidate) : undefined;
};

/** Only where it lowers the number of votes that a majority needs, or makes room for a replica that waits to join. */
const removeUnresponsiveVoter = ({ members, candidates, getTimeSinceContact }: RepairInput) => {
    const voters = members.filter(member => member.voter);
    const unresponsive = voters.find(member => getTimeSinceContact(member.memberId) > memberTimeoutMs);
    const lowersQuorum = voters.length % 2 === 0;
    const isRoomNeeded = members.length >= maximumVoters && candidates.length > 0;
    const isRemovable = voters.length > minimumVoters && (lowersQuorum || isRoomNeeded);
    return unresponsive && isRemovable ? remove(unresponsive) : undefined;
};

const removeUnresponsiveLearner = ({ members, getTimeSinceContact }: RepairInput): MembershipChange | undefined => {
    const unresponsive = members.find(member =>
        !member.voter && getTimeSinceContact(member.memberId) > memberTimeoutMs
    );
    return unresponsive ? remove(unresponsive) : undefined;
};

const remove = (member: GroupMember): MembershipChange => create(MembershipChangeSchema, { remove: member.memberId });

const addLearner = (replica: AnnouncedReplica): MembershipChange =>
    create(MembershipChangeSchema, { addLearner: create(GroupMemberSchema, { ...replica, voter: false }) });
