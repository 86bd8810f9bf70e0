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

export interface ReplicaEnvironment {
    readonly connect: (member: GroupMember) => ReplicaPeer;
    readonly clock: Clock;
    readonly timers: Timers;
    readonly random: Random;
    readonly logger: Logger;
}

export type ReplicaRole = "follower" | "candidate" | "leader";
