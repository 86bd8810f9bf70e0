/** One replica of the control group, a Raft member: pre-vote and elections, replication as a follower, leadership. */

import { getErrorMessage, Mutex, sleep } from "@anvilmux/common";
import type { Milliseconds } from "@anvilmux/common";
import type {
    AppendReply,
    AppendRequest,
    Command,
    CommandResult,
    GroupConfiguration,
    LogEntry,
    MemberProgress,
    MembershipChange,
    SnapshotChunk,
    SnapshotReply,
    VoteReply,
    VoteRequest,
} from "@anvilmux/protocol";
import { AppendReplySchema, ControlSnapshotSchema, SnapshotReplySchema, VoteReplySchema } from "@anvilmux/protocol";
import { create, fromBinary } from "@bufbuild/protobuf";
import { collectVotes, describeVoters } from "./collectVotes";
import { earlyCampaignDelayMs, electionTimeoutMs } from "./constants";
import type { ControlState } from "./ControlState";
import { ControlError } from "./errors";
import { isVoter } from "./group";
import { Leadership } from "./Leadership";
import { ReplicaLog } from "./ReplicaLog";
import type { ReplicaStorage } from "./ReplicaStorage";
import { SnapshotReceiver } from "./SnapshotReceiver";
import type { ReplicaEnvironment, ReplicaRole } from "./types";

/** Index and term of the snapshot that every member of a new group starts from. */
const formationPosition = 1n;

export class Replica {
    private readonly log: ReplicaLog;
    private readonly mutex = new Mutex();
    private leadership: Leadership | undefined;
    private campaigning = false;
    private leaderId = "";
    private term: bigint;
    private electionTimerResetAt: Milliseconds;
    private readonly snapshotReceiver = new SnapshotReceiver();
    private stopped = false;

    constructor(
        private readonly storage: ReplicaStorage,
        readonly state: ControlState,
        private readonly environment: ReplicaEnvironment,
        private readonly onApplied: (entry: LogEntry, result: CommandResult) => void = () => undefined,
    ) {
        this.log = new ReplicaLog(storage, state);
        const snapshotTerm = storage.snapshot?.lastTerm ?? 0n;
        this.term = storage.vote.term > snapshotTerm ? storage.vote.term : snapshotTerm;
        this.electionTimerResetAt = environment.clock.now();
    }

    get memberId(): string {
        return this.storage.memberId;
    }

    get currentTerm(): bigint {
        return this.term;
    }

    get role(): ReplicaRole {
        if (this.leadership) {
            return "leader";
        }
        return this.campaigning ? "candidate" : "follower";
    }

    /** Member id of the leader; empty when unknown. */
    get leader(): string {
        return this.leaderId;
    }

    get commitIndex(): bigint {
        return this.log.commitIndex;
    }

    get group(): GroupConfiguration {
        return this.log.group;
    }

    get isFormed(): boolean {
        return this.log.group.members.length > 0;
    }

    /**
     * True once this replica has applied, since its start, all that a leader of its term had committed. Before that,
     * the state may lack acknowledged commands, as the log on the disk does not tell which of its entries are
     * committed.
     */
    get isRecovered(): boolean {
        return this.log.isRecovered;
    }

    /** Resolves once `isRecovered` is true; never when the replica stops before. */
    untilRecovered(): Promise<void> {
        return this.log.untilRecovered();
    }

    start(): void {
        void this.runElectionTimer();
    }

    async stop(): Promise<void> {
        this.stopped = true;
        this.leadership?.end();
        this.leadership = undefined;
        await this.mutex.run(() => this.storage.close());
    }

    /** Makes this replica a member of a new group; false when it already belongs to a group. */
    form(group: GroupConfiguration): Promise<boolean> {
        return this.mutex.run(async () => {
            if (this.isFormed) {
                return false;
            }
            await this.log.install(create(ControlSnapshotSchema, {
                lastIndex: formationPosition,
                lastTerm: formationPosition,
                group,
            }));
            this.term = formationPosition;
            return true;
        });
    }

    /** Commits commands; throws `ControlError` unless this replica is the leader. */
    propose(commands: readonly Command[]): readonly Promise<CommandResult>[] {
        return this.requireLeadership().propose(commands);
    }

    async changeGroup(change: MembershipChange): Promise<CommandResult> {
        return this.requireLeadership().changeGroup(change);
    }

    /** True when a majority confirmed this replica as the leader after the call. */
    async confirmLeadership(): Promise<boolean> {
        return this.leadership ? this.leadership.confirm() : false;
    }

    getProgress(): readonly MemberProgress[] {
        return this.leadership?.getProgress() ?? [];
    }

    handleVote(request: VoteRequest): Promise<VoteReply> {
        return this.mutex.run(async () => {
            const granted = request.preVote ? this.wouldGrantVote(request) : await this.vote(request);
            return create(VoteReplySchema, { term: this.term, granted });
        });
    }

    handleAppend(request: AppendRequest): Promise<AppendReply> {
        return this.mutex.run(async () => {
            if (request.to !== this.memberId) {
                return create(AppendReplySchema, { term: this.term, wrongMember: true });
            }
            if (request.term < this.term) {
                return create(AppendReplySchema, { term: this.term });
            }
            await this.becomeFollower(request.term, request.leader);
            return this.appendFromLeader(request);
        });
    }

    handleSnapshot(chunk: SnapshotChunk): Promise<SnapshotReply> {
        return this.mutex.run(async () => {
            if (chunk.to !== this.memberId) {
                return create(SnapshotReplySchema, { term: this.term, wrongMember: true });
            }
            if (chunk.term < this.term) {
                return create(SnapshotReplySchema, { term: this.term, nextOffset: 0n });
            }
            await this.becomeFollower(chunk.term, chunk.leader);
            const nextOffset = await this.receiveChunk(chunk);
            return create(SnapshotReplySchema, { term: this.term, nextOffset: BigInt(nextOffset) });
        });
    }

    /** Saves a snapshot if any entry was applied since the last one. */
    async compact(keptEntries?: number): Promise<void> {
        await this.mutex.run(async () => {
            if (!this.stopped && this.log.appliedIndex > (this.storage.snapshot?.lastIndex ?? 0n)) {
                await this.log.takeSnapshot(keptEntries);
            }
        });
    }

    private requireLeadership(): Leadership {
        if (!this.leadership) {
            throw new ControlError(
                "not-leader",
                `this replica is not the leader; the leader is "${this.leaderId || "unknown"}"`,
            );
        }
        return this.leadership;
    }

    /** Starts an election whenever a random timeout passed without contact to a leader. */
    private async runElectionTimer(): Promise<void> {
        const { timers, clock, random } = this.environment;
        await this.campaignEarly();
        while (!this.stopped) {
            const timeout = electionTimeoutMs * (1 + random.next());
            const elapsed = clock.now() - this.electionTimerResetAt;
            await sleep(timers, Math.max(electionTimeoutMs / 10, timeout - elapsed));
            const isExpired = clock.now() - this.electionTimerResetAt >= timeout;
            if (!this.stopped && !this.leadership && isExpired && isVoter(this.group, this.memberId)) {
                await this.campaign().catch(error => this.logFailure("election failed", error));
            }
        }
    }

    /**
     * Campaigns soon after a start, while no leader is known. Replicas in contact with a leader deny the pre-vote, so
     * restarting one replica does not disrupt the group.
     */
    private async campaignEarly(): Promise<void> {
        const { timers, random } = this.environment;
        for (let attempt = 0; attempt < this.environment.earlyCampaigns; attempt++) {
            await sleep(timers, earlyCampaignDelayMs * (1 + random.next()));
            if (this.stopped || this.leaderId !== "" || !isVoter(this.group, this.memberId)) {
                return;
            }
            await this.campaign().catch(error => this.logFailure("election failed", error));
        }
    }

    private async campaign(): Promise<void> {
        this.campaigning = true;
        try {
            const term = this.term;
            if (!await this.collectVotes(term + 1n, true) || this.term !== term || this.leadership) {
                return;
            }
            const isCandidate = await this.mutex.run(() => this.becomeCandidate(term + 1n));
            if (isCandidate && await this.collectVotes(term + 1n, false) && this.term === term + 1n && !this.stopped) {
                this.becomeLeader();
            }
        }
        finally {
            this.campaigning = false;
        }
    }

    private async becomeCandidate(term: bigint): Promise<boolean> {
        if (this.term >= term || this.stopped) {
            return false;
        }
        await this.storage.saveVote({ term, votedFor: this.memberId });
        this.term = term;
        this.leaderId = "";
        return true;
    }

    private collectVotes(term: bigint, preVote: boolean): Promise<boolean> {
        const { lastIndex, lastTerm } = this.storage.log;
        return collectVotes(
            { memberId: this.memberId, group: this.group, term, preVote, lastIndex, lastTerm },
            this.environment,
            laterTerm => this.adoptTerm(laterTerm),
        );
    }

    private becomeLeader(): void {
        this.leaderId = this.memberId;
        const { term, group, environment } = this;
        environment.logger.info("control leadership won", { term: Number(term), voters: describeVoters(group) });
        this.leadership = new Leadership(this.term, {
            storage: this.storage,
            replicaLog: this.log,
            environment: this.environment,
            persist: () => this.mutex.run(() => this.storage.log.persist()),
            commit: index => this.commit(index),
            stepDown: (reason, term) => this.stepDown(reason, term),
        });
    }

    private stepDown(reason: string, term: bigint): void {
        if (this.leadership) {
            this.environment.logger.warn("control leadership ended", { reason, term: Number(term) });
            this.leadership.end();
            this.leadership = undefined;
            this.leaderId = "";
            this.electionTimerResetAt = this.environment.clock.now();
        }
        if (term > this.term) {
            this.adoptTerm(term);
        }
    }

    private wouldGrantVote(request: VoteRequest): boolean {
        const hasLeader = this.leadership !== undefined
            || (this.leaderId !== "" && this.environment.clock.now() - this.electionTimerResetAt < electionTimeoutMs);
        return request.to === this.memberId && request.term > this.term && !hasLeader && this.isUpToDate(request);
    }

    private async vote(request: VoteRequest): Promise<boolean> {
        if (request.to !== this.memberId || request.term < this.term) {
            return false;
        }
        await this.enterTerm(request.term);
        const { vote } = this.storage;
        const votedFor = vote.term === this.term ? vote.votedFor : "";
        if ((votedFor !== "" && votedFor !== request.candidate) || !this.isUpToDate(request) || !this.isFormed) {
            return false;
        }
        await this.storage.saveVote({ term: this.term, votedFor: request.candidate });
        this.electionTimerResetAt = this.environment.clock.now();
        return true;
    }

    private isUpToDate(request: VoteRequest): boolean {
        const { lastIndex, lastTerm } = this.storage.log;
        return request.lastTerm > lastTerm || (request.lastTerm === lastTerm && request.lastIndex >= lastIndex);
    }

    /** Adopts a later term that a reply named; without room on the disk the next message tries again. */
    private adoptTerm(term: bigint): void {
        this.mutex.run(() => this.enterTerm(term)).catch(error => this.logFailure("term not saved", error));
    }

    /** Adopts a later term as a follower that has not voted in it. */
    private async enterTerm(term: bigint): Promise<void> {
        if (term <= this.term) {
            return;
        }
        await this.storage.saveVote({ term, votedFor: "" });
        this.term = term;
        this.leaderId = "";
        this.stepDown(`term ${term} has begun`, term);
    }

    private async becomeFollower(term: bigint, leader: string): Promise<void> {
        await this.enterTerm(term);
        this.leaderId = leader;
        this.electionTimerResetAt = this.environment.clock.now();
    }

    private async appendFromLeader(request: AppendRequest): Promise<AppendReply> {
        const { log } = this.storage;
        const conflict = log.findConflict(request.previousIndex, request.previousTerm);
        if (conflict !== undefined) {
            return create(AppendReplySchema, { term: this.term, index: conflict });
        }
        const added = request.entries.filter(entry => entry.index >= log.firstIndex);
        const firstNew = added.findIndex(entry => log.getTerm(entry.index) !== entry.term);
        if (firstNew >= 0) {
            this.log.truncateAndAppend(added.slice(firstNew));
        }
        // Also covers entries that this replica appended as the leader and did not persist.
        await log.persist();
        const matched = request.previousIndex + BigInt(request.entries.length);
        this.commit(request.commitIndex < matched ? request.commitIndex : matched);
        this.log.checkRecovered(request.commitIndex, this.term);
        return create(AppendReplySchema, { term: this.term, success: true, index: matched });
    }

    /** Installs a snapshot once it is complete; returns the next expected offset. */
    private async receiveChunk(chunk: SnapshotChunk): Promise<number> {
        const { nextOffset, snapshot } = this.snapshotReceiver.receive(chunk);
        if (snapshot && chunk.lastIndex > this.log.commitIndex) {
            await this.log.install(fromBinary(ControlSnapshotSchema, snapshot));
        }
        return nextOffset;
    }

    private commit(index: bigint): void {
        this.log.commit(index, (entry, result) => {
            this.leadership?.handleApplied(entry, result);
            this.onApplied(entry, result);
        });
        if (this.leadership) {
            this.log.checkRecovered(index, this.term);
        }
        if (this.log.needsSnapshot()) {
            void this.mutex.run(async () => {
                if (!this.stopped && this.log.needsSnapshot()) {
                    await this.log.takeSnapshot();
                }
            }).catch(error => this.logFailure("snapshot failed", error));
        }
    }

    private logFailure(message: string, error: unknown): void {
        this.environment.logger.warn(message, { reason: getErrorMessage(error) });
    }
}
