/** Interfaces that the consensus code requires of its environment. */

import type { Clock, Random, Timers } from "@anvilmux/common";
import type {
    AppendReply,
    AppendRequest,
    GroupMember,
    SnapshotChunk,
    SnapshotReply,
    VoteReply,
    VoteRequest,
} from "@anvilmux/protocol";
import type { Logger } from "@anvilmux/telemetry";

/** Another replica of the control group. Calls reject when no reply arrives in time. */
export interface ReplicaPeer {
    readonly requestVote: (request: VoteRequest) => Promise<VoteReply>;
    readonly appendEntries: (request: AppendRequest) => Promise<AppendReply>;
    readonly installSnapshot: (chunk: SnapshotChunk) => Promise<SnapshotReply>;
}

/** The two main safety rules of consensus; exploration tests replace each one to show that it is needed. */
export interface ConsensusRules {
    /** Whether a leader of `leaderTerm` may commit up to an entry of `entryTerm` that a majority has stored. */
    readonly mayCommit: (entryTerm: bigint | undefined, leaderTerm: bigint) => boolean;
    /** Whether the group may change again, given its latest change at `groupIndex` and the commit index. */
    readonly mayChangeGroup: (groupIndex: bigint, commitIndex: bigint) => boolean;
}

export const standardRules: ConsensusRules = {
    mayCommit: (entryTerm, leaderTerm) => entryTerm === leaderTerm,
    mayChangeGroup: (groupIndex, commitIndex) => groupIndex <= commitIndex,
};

export interface ReplicaEnvironment {
    readonly rules: ConsensusRules;
    /** Maximum number of entries in one message to a follower. */
    readonly maximumEntriesPerAppend: number;
    /** Number of early elections that a replica attempts after its start while it knows no leader. */
    readonly earlyCampaigns: number;
    readonly connect: (member: GroupMember) => ReplicaPeer;
    readonly clock: Clock;
    readonly timers: Timers;
    readonly random: Random;
    readonly logger: Logger;
}

export type ReplicaRole = "follower" | "candidate" | "leader";
