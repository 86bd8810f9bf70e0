/**
 * One term of leadership: replicates to every other member, commits by majority, confirms leadership for reads by
 * majority, and steps down when no majority is reachable.
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

/** The parts of a replica that its leadership uses. */
export interface LeadershipHost {
    readonly storage: ReplicaStorage;
    readonly replicaLog: ReplicaLog;
    readonly environment: ReplicaEnvironment;
    /** Writes and syncs entries that are in memory only, one write at a time. */
    readonly persist: () => Promise<void>;
    /** Raises the commit index. */
    readonly commit: (index: bigint) => void;
    /** Ends the leadership; a term above the current one is adopted. */
    readonly stepDown: (reason: string, term: bigint) => void;
}

interface Follower {
    readonly member: GroupMember;
    readonly signal: Signal;
    nextIndex: bigint;
    matchIndex: bigint;
    /** Time at which the latest answered message was sent; initially the start of the leadership. */
    confirmedAt: Milliseconds;
}

interface Confirmation {
    readonly since: Milliseconds;
    readonly deferred: Deferred<boolean>;
}

export class Leadership {
    private readonly followers = new Map<string, Follower>();
    private readonly pendingProposals = new Map<bigint, Deferred<CommandResult>>();
    private confirmations: Confirmation[] = [];
    private readonly termStartIndex: bigint;
    private readonly startedAt: Milliseconds;
    private persisting = false;
    private ended = false;

    constructor(readonly term: bigint, private readonly host: LeadershipHost) {
        this.startedAt = host.environment.clock.now();
        this.termStartIndex = host.storage.log.lastIndex + 1n;
        this.append([create(CommandSchema, { kind: { case: "noOperation", value: true } })]);
        this.updateFollowers();
        void this.monitorQuorum();
    }

    /** Commits commands; each promise rejects with code `outcome-unknown` when leadership ends first. */
    propose(commands: readonly Command[]): readonly Promise<CommandResult>[] {
        if (this.pendingProposals.size + commands.length > maximumPendingProposals) {
            throw new ControlError("overloaded", `${this.pendingProposals.size} proposals wait already`);
        }
        const first = this.append(commands);
        return commands.map((_command, position) => {
            const deferred = newDeferred<CommandResult>();
            this.pendingProposals.set(first + BigInt(position), deferred);
            return deferred.promise;
        });
    }

    /** Changes the group by one member. */
    async changeGroup(change: MembershipChange): Promise<CommandResult> {
        const { replicaLog, environment } = this.host;
        const mayChange = environment.rules.mayChangeGroup(replicaLog.groupIndex, replicaLog.commitIndex);
        if (!mayChange || replicaLog.commitIndex < this.termStartIndex) {
            throw new ControlError("change-in-progress", "an earlier change of the group is not committed yet");
        }
        if (change.promote) {
            this.requireCaughtUp(change.promote);
        }
        const group = changeGroup(replicaLog.group, change);
        return this.propose([create(CommandSchema, { kind: { case: "group", value: group } })])[0]!;
    }

    /**
     * True once a majority replied to messages sent since this call and this term's first entry is committed; false
     * if the leadership ends first.
     */
    async confirm(): Promise<boolean> {
        const deferred = newDeferred<boolean>();
        this.confirmations.push({ since: this.host.environment.clock.now(), deferred });
        this.wakeReplicationTasks();
        this.resolveConfirmations();
        return deferred.promise;
    }

    /** Resolves the pending proposal of an applied entry. */
    handleApplied(entry: LogEntry, result: CommandResult): void {
        this.pendingProposals.get(entry.index)?.resolve(result);
        this.pendingProposals.delete(entry.index);
    }

    /** Ends all replication tasks; proposals not yet committed have an unknown outcome. */
    end(): void {
        this.ended = true;
        const error = new ControlError("outcome-unknown", "leadership ended before the command was committed");
        this.pendingProposals.forEach(deferred => {
            deferred.promise.catch(() => undefined);
            deferred.reject(error);
        });
        this.pendingProposals.clear();
        this.confirmations.forEach(confirmation => confirmation.deferred.resolve(false));
        this.confirmations = [];
        this.wakeReplicationTasks();
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

    /** Appends commands to the log and starts persisting them; returns the first one's index. */
    private append(commands: readonly Command[]): bigint {
        const first = this.host.storage.log.lastIndex + 1n;
        this.host.replicaLog.truncateAndAppend(commands.map((command, position) =>
            create(LogEntrySchema, {
                index: first + BigInt(position),
                term: this.term,
                command: toBinary(CommandSchema, command),
            })
        ));
        if (commands.some(command => command.kind.case === "group")) {
            this.updateFollowers();
        }
        this.wakeReplicationTasks();
        void this.persistAll();
        return first;
    }

    /** Persists until no entry is left; proposals that arrive meanwhile share the next write. */
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
        // Raft's commit rule: entries of earlier terms are committed only together with one of this term.
        const mayCommit = this.host.environment.rules.mayCommit(storage.log.getTerm(index), this.term);
        if (index > replicaLog.commitIndex && mayCommit) {
            this.host.commit(index);
            this.resolveConfirmations();
            this.wakeReplicationTasks();
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

    /** Starts a replication task for each new member; the task of a removed member ends at its next check. */
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

    private wakeReplicationTasks(): void {
        this.followers.forEach(follower => follower.signal.raise());
    }

    private async replicateTo(follower: Follower): Promise<void> {
        const { timers } = this.host.environment;
        while (this.isActiveFollower(follower)) {
            try {
                const needsSnapshot = follower.nextIndex < this.host.storage.log.firstIndex;
                await (needsSnapshot ? this.sendSnapshot(follower) : this.sendEntries(follower));
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

    private isActiveFollower(follower: Follower): boolean {
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
        if (this.isActiveFollower(follower) && this.checkTerm(reply.term)) {
            this.handleAppendReply(follower, reply, sentAt);
        }
    }

    private handleAppendReply(follower: Follower, reply: AppendReply, sentAt: Milliseconds): void {
        requireMember(follower.member, reply);
        this.recordConfirmation(follower, sentAt);
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
        for (let offset = 0; offset < bytes.length && this.isActiveFollower(follower);) {
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
            if (!this.isActiveFollower(follower) || !this.checkTerm(reply.term)) {
                return;
            }
            requireMember(follower.member, reply);
            this.recordConfirmation(follower, sentAt);
            offset = Number(reply.nextOffset);
        }
        follower.matchIndex = snapshot.lastIndex;
        follower.nextIndex = snapshot.lastIndex + 1n;
    }

    /** Steps down and returns false when another replica has seen a later term. */
    private checkTerm(term: bigint): boolean {
        if (term > this.term) {
            this.host.stepDown(`term ${term} has begun`, term);
            return false;
        }
        return true;
    }

    private recordConfirmation(follower: Follower, sentAt: Milliseconds): void {
        follower.confirmedAt = Math.max(follower.confirmedAt, sentAt);
        this.resolveConfirmations();
    }

    private isConfirmedSince(since: Milliseconds): boolean {
        const selfId = this.host.storage.memberId;
        return isQuorum(
            this.host.replicaLog.group,
            memberId => memberId === selfId || (this.followers.get(memberId)?.confirmedAt ?? -Infinity) >= since,
        );
    }

    private resolveConfirmations(): void {
        if (this.host.replicaLog.commitIndex < this.termStartIndex) {
            return;
        }
        const confirmed = this.confirmations.filter(item => this.isConfirmedSince(item.since));
        this.confirmations = this.confirmations.filter(item => !confirmed.includes(item));
        confirmed.forEach(item => item.deferred.resolve(true));
    }

    /** Steps down when no majority has replied for two election timeouts. */
    private async monitorQuorum(): Promise<void> {
        const { timers, clock } = this.host.environment;
        while (!this.ended) {
            await sleep(timers, electionTimeoutMs / 2);
            if (!this.ended && !this.isConfirmedSince(clock.now() - electionTimeoutMs * 2)) {
                this.host.stepDown("no majority of voters responded", this.term);
            }
        }
    }
}

/** Throws when the reply comes from another data folder than the member's; such a reply confirms nothing. */
const requireMember = ({ memberId }: GroupMember, reply: { readonly wrongMember: boolean; }): void => {
    if (reply.wrongMember) {
        throw new ControlError("wrong-member", `the instance of member "${memberId}" has a different data folder`);
    }
};
