/**
 * One term of leadership: a replication task for each other member, commits by majority, reads confirmed by a
 * majority, and an end as soon as a majority is out of reach.
 */

import { getErrorMessage, newDeferred, Signal, sleep } from "@anvilmux/common";
import type { Deferred, Milliseconds } from "@anvilmux/common";
import type {
    AppendReply,
    Command,
    CommandResult,
    GroupMember,
    LogEntry,
    MemberProgress,
    MembershipChange,
} from "@anvilmux/protocol";
import {
    AppendRequestSchema,
    CommandSchema,
    ControlSnapshotSchema,
    LogEntrySchema,
    MemberProgressSchema,
    SnapshotChunkSchema,
} from "@anvilmux/protocol";
import { create, toBinary } from "@bufbuild/protobuf";
import {
    electionTimeoutMs,
    heartbeatPeriodMs,
    maximumAppendBytes,
    maximumPendingProposals,
    snapshotChunkBytes,
} from "./constants";
import { ControlError } from "./errors";
import { changeGroup, getQuorumIndex, isCaughtUp, isQuorum, isVoter } from "./group";
import type { ReplicaLog } from "./ReplicaLog";
import type { ReplicaStorage } from "./ReplicaStorage";
import type { ReplicaEnvironment } from "./types";

/** What a leadership needs from its replica. */
export interface LeadershipHost {
    readonly storage: ReplicaStorage;
    readonly replicaLog: ReplicaLog;
    readonly environment: ReplicaEnvironment;
    /** Writes placed entries to disk, one write at a time. */
    readonly persist: () => Promise<void>;
    /** Raises the commit index. */
    readonly commit: (index: bigint) => void;
    /** Ends the leadership; a term above the present one is taken over. */
    readonly stepDown: (reason: string, term: bigint) => void;
}

interface Follower {
    readonly member: GroupMember;
    readonly signal: Signal;
    nextIndex: bigint;
    matchIndex: bigint;
    /** When the last answered message was sent. */
    confirmedAt: Milliseconds;
}

interface Confirmation {
    readonly since: Milliseconds;
    readonly deferred: Deferred<boolean>;
}

export class Leadership {
    private readonly followers = new Map<string, Follower>();
    private readonly pending = new Map<bigint, Deferred<CommandResult>>();
    private confirmations: Confirmation[] = [];
    private readonly firstIndex: bigint;
    private readonly startedAt: Milliseconds;
    private persisting = false;
    private ended = false;

    constructor(readonly term: bigint, private readonly host: LeadershipHost) {
        this.startedAt = host.environment.clock.now();
        this.firstIndex = host.storage.log.lastIndex + 1n;
        this.append([create(CommandSchema, { kind: { case: "noOperation", value: true } })]);
        this.updateFollowers();
        void this.watchQuorum();
    }

    /** Commits commands; each promise rejects with code `outcome-unknown` when leadership ends first. */
    propose(commands: readonly Command[]): readonly Promise<CommandResult>[] {
        if (this.pending.size + commands.length > maximumPendingProposals) {
            throw new ControlError("overloaded", `${this.pending.size} proposals wait already`);
        }
        const first = this.append(commands);
        return commands.map((_command, position) => {
            const deferred = newDeferred<CommandResult>();
            this.pending.set(first + BigInt(position), deferred);
            return deferred.promise;
        });
    }

    /** Changes the group by one member. */
    async changeGroup(change: MembershipChange): Promise<CommandResult> {
        const { replicaLog, environment } = this.host;
        const mayChange = environment.rules.mayChangeGroup(replicaLog.groupIndex, replicaLog.commitIndex);
        if (!mayChange || replicaLog.commitIndex < this.firstIndex) {
            throw new ControlError("change-in-progress", "an earlier change of the group is not committed yet");
        }
        if (change.promote) {
            this.requireCaughtUp(change.promote);
        }
        const group = changeGroup(replicaLog.group, change);
        return this.propose([create(CommandSchema, { kind: { case: "group", value: group } })])[0]!;
    }

    /** True once a majority answered a message sent after this call, and this term's first entry is committed. */
    async confirm(): Promise<boolean> {
        const deferred = newDeferred<boolean>();
        this.confirmations.push({ since: this.host.environment.clock.now(), deferred });
        this.wakeFollowers();
        this.settleConfirmations();
        return deferred.promise;
    }

    /** Resolves the proposal behind an applied entry. */
    noteApplied(entry: LogEntry, result: CommandResult): void {
        this.pending.get(entry.index)?.resolve(result);
        this.pending.delete(entry.index);
    }

    /** Ends all tasks; proposals not yet committed have an unknown outcome. */
    end(): void {
        this.ended = true;
        const error = new ControlError("outcome-unknown", "leadership ended before the command was committed");
        this.pending.forEach(deferred => {
            deferred.promise.catch(() => undefined);
            deferred.reject(error);
        });
        this.pending.clear();
        this.confirmations.forEach(confirmation => confirmation.deferred.resolve(false));
        this.confirmations = [];
        this.wakeFollowers();
    }

    getProgress(): readonly MemberProgress[] {
        const now = this.host.environment.clock.now();
        return this.host.replicaLog.group.members.map(member => {
            const follower = this.followers.get(member.memberId);
            return create(MemberProgressSchema, {
                memberId: member.memberId,
                address: member.address,
                voter: member.voter,
                matchIndex: follower?.matchIndex ?? this.host.storage.log.persistedIndex,
                reachable: !follower || now - follower.confirmedAt < electionTimeoutMs,
            });
        });
    }

    /** Places commands in the log and starts making them durable; returns the first one's index. */
    private append(commands: readonly Command[]): bigint {
        const first = this.host.storage.log.lastIndex + 1n;
        this.host.replicaLog.place(commands.map((command, position) =>
            create(LogEntrySchema, {
                index: first + BigInt(position),
                term: this.term,
                command: toBinary(CommandSchema, command),
            })
        ));
        if (commands.some(command => command.kind.case === "group")) {
            this.updateFollowers();
        }
        this.wakeFollowers();
        void this.persistAll();
        return first;
    }

    /** Writes until nothing is left; proposals that come meanwhile share the next write. */
    private async persistAll(): Promise<void> {
        if (this.persisting) {
            return;
        }
        this.persisting = true;
        try {
            while (!this.ended && this.host.storage.log.persistedIndex < this.host.storage.log.lastIndex) {
                await this.host.persist();
                this.advanceCommit();
            }
        }
        catch (error) {
            this.host.stepDown(getErrorMessage(error), this.term);
        }
        finally {
            this.persisting = false;
        }
    }

    private advanceCommit(): void {
        if (this.ended) {
            return;
        }
        const { replicaLog, storage } = this.host;
        const index = getQuorumIndex(replicaLog.group, memberId => this.getMatchIndex(memberId));
        // Entries of earlier terms are committed only together with one of this term.
        const mayCommit = this.host.environment.rules.mayCommit(storage.log.getTerm(index), this.term);
        if (index > replicaLog.commitIndex && mayCommit) {
            this.host.commit(index);
            this.settleConfirmations();
            this.wakeFollowers();
        }
        if (!isVoter(replicaLog.group, storage.memberId) && replicaLog.groupIndex <= replicaLog.commitIndex) {
            this.host.stepDown("this replica was removed from the group", this.term);
        }
    }

    private getMatchIndex(memberId: string): bigint {
        return memberId === this.host.storage.memberId
            ? this.host.storage.log.persistedIndex
            : this.followers.get(memberId)?.matchIndex ?? 0n;
    }

    private requireCaughtUp(memberId: string): void {
        const matchIndex = this.followers.get(memberId)?.matchIndex ?? 0n;
        const { commitIndex } = this.host.replicaLog;
        if (!isCaughtUp(matchIndex, commitIndex)) {
            throw new ControlError("not-caught-up", `"${memberId}" lacks ${commitIndex - matchIndex} entries`);
        }
    }

    /** Starts a replication task for each new member; tasks of removed members end by themselves. */
    private updateFollowers(): void {
        const { group } = this.host.replicaLog;
        for (const memberId of this.followers.keys()) {
            if (!group.members.some(member => member.memberId === memberId)) {
                this.followers.delete(memberId);
            }
        }
        for (const member of group.members) {
            if (member.memberId !== this.host.storage.memberId && !this.followers.has(member.memberId)) {
                const follower: Follower = {
                    member,
                    signal: new Signal(),
                    nextIndex: this.host.storage.log.lastIndex + 1n,
                    matchIndex: 0n,
                    confirmedAt: this.startedAt,
                };
                this.followers.set(member.memberId, follower);
                void this.replicateTo(follower);
            }
        }
    }

    private wakeFollowers(): void {
        this.followers.forEach(follower => follower.signal.raise());
    }

    private async replicateTo(follower: Follower): Promise<void> {
        const { timers } = this.host.environment;
        while (this.isFollowing(follower)) {
            try {
                const isBehindLog = follower.nextIndex < this.host.storage.log.firstIndex;
                await (isBehindLog ? this.sendSnapshot(follower) : this.sendEntries(follower));
            }
            catch (error) {
                const { memberId } = follower.member;
                this.host.environment.logger.debug("replication failed", { memberId, reason: getErrorMessage(error) });
                await sleep(timers, heartbeatPeriodMs);
                continue;
            }
            if (follower.nextIndex > this.host.storage.log.lastIndex) {
                await follower.signal.wait(timers, heartbeatPeriodMs);
            }
        }
    }

    private isFollowing(follower: Follower): boolean {
        return !this.ended && this.followers.get(follower.member.memberId) === follower;
    }

    private async sendEntries(follower: Follower): Promise<void> {
        const { log } = this.host.storage;
        const sentAt = this.host.environment.clock.now();
        const previousIndex = follower.nextIndex - 1n;
        const entries = log.getEntries(
            follower.nextIndex,
            this.host.environment.maximumEntriesPerAppend,
            maximumAppendBytes,
        );
        const reply = await this.host.environment.connect(follower.member).appendEntries(create(AppendRequestSchema, {
            leader: this.host.storage.memberId,
            to: follower.member.memberId,
            term: this.term,
            previousIndex,
            previousTerm: log.getTerm(previousIndex)!,
            commitIndex: this.host.replicaLog.commitIndex,
            entries: [...entries],
        }));
        if (this.isFollowing(follower) && this.noteTerm(reply.term)) {
            this.noteAppendReply(follower, reply, sentAt);
        }
    }

    private noteAppendReply(follower: Follower, reply: AppendReply, sentAt: Milliseconds): void {
        if (reply.wrongMember) {
            throw new ControlError("wrong-member", `the data folder of "${follower.member.memberId}" is gone`);
        }
        this.noteConfirmed(follower, sentAt);
        if (!reply.success) {
            follower.nextIndex = reply.index < follower.nextIndex ? reply.index : follower.nextIndex - 1n;
            return;
        }
        if (reply.index > follower.matchIndex) {
            follower.matchIndex = reply.index;
        }
        follower.nextIndex = follower.matchIndex + 1n;
        this.advanceCommit();
    }

    private async sendSnapshot(follower: Follower): Promise<void> {
        const snapshot = this.host.storage.snapshot!;
        const bytes = toBinary(ControlSnapshotSchema, snapshot);
        for (let offset = 0; offset < bytes.length && this.isFollowing(follower);) {
            const end = Math.min(bytes.length, offset + snapshotChunkBytes);
            const sentAt = this.host.environment.clock.now();
            const reply = await this.host.environment.connect(follower.member).installSnapshot(
                create(SnapshotChunkSchema, {
                    leader: this.host.storage.memberId,
                    to: follower.member.memberId,
                    term: this.term,
                    lastIndex: snapshot.lastIndex,
                    lastTerm: snapshot.lastTerm,
                    offset: BigInt(offset),
                    data: bytes.subarray(offset, end),
                    done: end === bytes.length,
                }),
            );
            if (!this.isFollowing(follower) || !this.noteTerm(reply.term)) {
                return;
            }
            this.noteConfirmed(follower, sentAt);
            offset = Number(reply.nextOffset);
        }
        follower.matchIndex = snapshot.lastIndex;
        follower.nextIndex = snapshot.lastIndex + 1n;
    }

    /** False, and the end of this leadership, when another replica has seen a later term. */
    private noteTerm(term: bigint): boolean {
        if (term > this.term) {
            this.host.stepDown(`term ${term} has begun`, term);
            return false;
        }
        return true;
    }

    private noteConfirmed(follower: Follower, sentAt: Milliseconds): void {
        follower.confirmedAt = Math.max(follower.confirmedAt, sentAt);
        this.settleConfirmations();
    }

    private isConfirmedSince(since: Milliseconds): boolean {
        const selfId = this.host.storage.memberId;
        return isQuorum(
            this.host.replicaLog.group,
            memberId => memberId === selfId || (this.followers.get(memberId)?.confirmedAt ?? -Infinity) >= since,
        );
    }

    private settleConfirmations(): void {
        if (this.host.replicaLog.commitIndex < this.firstIndex) {
            return;
        }
        const settled = this.confirmations.filter(item => this.isConfirmedSince(item.since));
        this.confirmations = this.confirmations.filter(item => !settled.includes(item));
        settled.forEach(item => item.deferred.resolve(true));
    }

    /** Gives leadership up when no majority answered for an election timeout. */
    private async watchQuorum(): Promise<void> {
        const { timers, clock } = this.host.environment;
        while (!this.ended) {
            await sleep(timers, electionTimeoutMs / 2);
            if (!this.ended && !this.isConfirmedSince(clock.now() - electionTimeoutMs * 2)) {
                this.host.stepDown("no majority of replicas answers", this.term);
            }
        }
    }
}
