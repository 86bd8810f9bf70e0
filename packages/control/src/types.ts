/** What the consensus code needs from outside. */

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

/** Another replica of the control group. Calls reject when no reply comes in time. */
export interface ReplicaPeer {
    readonly requestVote: (request: VoteRequest) => Promise<VoteReply>;
    readonly appendEntries: (request: AppendRequest) => Promise<AppendReply>;
    readonly installSnapshot: (chunk: SnapshotChunk) => Promise<SnapshotReply>;
}

/** The two rules on which safety rests most; explorations replace them to show that they are needed. */
export interface ConsensusRules {
    /** May a leader of `leaderTerm` commit up to an entry of `entryTerm` once a majority holds it? */
    readonly mayCommit: (entryTerm: bigint | undefined, leaderTerm: bigint) => boolean;
    /** May the group change while the change at `groupIndex` may not be committed yet? */
    readonly mayChangeGroup: (groupIndex: bigint, commitIndex: bigint) => boolean;
}

export const standardRules: ConsensusRules = {
    mayCommit: (entryTerm, leaderTerm) => entryTerm === leaderTerm,
    mayChangeGroup: (groupIndex, commitIndex) => groupIndex <= commitIndex,
};

export interface ReplicaEnvironment {
    readonly rules: ConsensusRules;
    /** Entries in one message to a follower. */
    readonly maximumEntriesPerAppend: number;
    /** Times a replica that starts and hears no leader asks for votes sooner than an election timeout. */
    readonly earlyCampaigns: number;
    readonly connect: (member: GroupMember) => ReplicaPeer;
    readonly clock: Clock;
    readonly timers: Timers;
    readonly random: Random;
    readonly logger: Logger;
}

export type ReplicaRole = "follower" | "candidate" | "leader";
