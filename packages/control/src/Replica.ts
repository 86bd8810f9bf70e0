/** One replica of the control group: elections with pre-vote, the follower's side of replication, and leadership. */

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
import {
    AppendReplySchema,
    ControlSnapshotSchema,
    SnapshotReplySchema,
    VoteReplySchema,
    VoteRequestSchema,
} from "@anvilmux/protocol";
import { create, fromBinary } from "@bufbuild/protobuf";
import { earlyCampaignMs, electionTimeoutMs } from "./constants";
import type { ControlState } from "./ControlState";
import { ControlError } from "./errors";
import { getQuorumSize, getVoters, isVoter } from "./group";
import { Leadership } from "./Leadership";
import { ReplicaLog } from "./ReplicaLog";
import type { ReplicaStorage } from "./ReplicaStorage";
import { SnapshotReceiver } from "./SnapshotReceiver";
import type { ReplicaEnvironment, ReplicaRole } from "./types";

/** Index and term of the snapshot every member of a new group starts from. */
const formationPosition = 1n;

export class Replica {
    private readonly log: ReplicaLog;
    private readonly mutex = new Mutex();
    private leadership: Leadership | undefined;
    private campaigning = false;
    private leaderId = "";
    private term: bigint;
    private heardAt: Milliseconds;
    private readonly receiver = new SnapshotReceiver();
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
        this.heardAt = environment.clock.now();
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

    /** Member id of the leader as far as known; empty when unknown. */
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

    start(): void {
        void this.watchLeader();
    }

    async stop(): Promise<void> {
        this.stopped = true;
        this.leadership?.end();
        this.leadership = undefined;
        await this.mutex.run(() => this.storage.close());
    }

    /** Makes this fresh replica a member of a new group. False when it belongs to a group already. */
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

    /** Commits commands through this replica, which must lead. */
    propose(commands: readonly Command[]): readonly Promise<CommandResult>[] {
        return this.requireLeadership().propose(commands);
    }

    async changeGroup(change: MembershipChange): Promise<CommandResult> {
        return this.requireLeadership().changeGroup(change);
    }

    /** True when this replica led a majority at some moment after the call. */
    async confirmLeadership(): Promise<boolean> {
        return this.leadership ? this.leadership.confirm() : false;
    }

    getProgress(): readonly MemberProgress[] {
        return this.leadership?.getProgress() ?? [];
    }

    handleVote(request: VoteRequest): Promise<VoteReply> {
        return this.mutex.run(async () => {
            const granted = request.preVote ? this.wouldVote(request) : await this.vote(request);
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
            await this.follow(request.term, request.leader);
            return this.appendFromLeader(request);
        });
    }

    handleSnapshot(chunk: SnapshotChunk): Promise<SnapshotReply> {
        return this.mutex.run(async () => {
            if (chunk.to !== this.memberId || chunk.term < this.term) {
                return create(SnapshotReplySchema, { term: this.term, nextOffset: 0n });
            }
            await this.follow(chunk.term, chunk.leader);
            const nextOffset = await this.takeChunk(chunk);
            return create(SnapshotReplySchema, { term: this.term, nextOffset: BigInt(nextOffset) });
        });
    }

    /** Saves a snapshot when enough was applied since the last one. */
    async compact(keptEntries?: number): Promise<void> {
        await this.mutex.run(async () => {
            if (!this.stopped && this.log.appliedIndex > (this.storage.snapshot?.lastIndex ?? 0n)) {
                await this.log.takeSnapshot(keptEntries);
            }
        });
    }

    private requireLeadership(): Leadership {
        if (!this.leadership) {
            throw new ControlError("not-leader", `the leader is "${this.leaderId || "unknown"}"`);
        }
        return this.leadership;
    }

    /** Asks for votes whenever no leader was heard for a randomly drawn time. */
    private async watchLeader(): Promise<void> {
        const { timers, clock, random } = this.environment;
        await this.askEarly();
        while (!this.stopped) {
            const timeout = electionTimeoutMs * (1 + random.next());
            const silence = clock.now() - this.heardAt;
            await sleep(timers, Math.max(electionTimeoutMs / 10, timeout - silence));
            const isSilent = clock.now() - this.heardAt >= timeout;
            if (!this.stopped && !this.leadership && isSilent && isVoter(this.group, this.memberId)) {
                await this.campaign().catch(error => this.logFailure("election failed", error));
            }
        }
    }

    /**
     * After a restart a replica knows of no leader and asks soon. The round before the vote is refused by every
     * replica that hears a leader, so a restart of one disturbs nobody.
     */
    private async askEarly(): Promise<void> {
        const { timers, random } = this.environment;
        for (let attempt = 0; attempt < this.environment.earlyCampaigns; attempt++) {
            await sleep(timers, earlyCampaignMs * (1 + random.next()));
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
            const candidacy = await this.mutex.run(() => this.enterCandidacy(term + 1n));
            if (candidacy && await this.collectVotes(term + 1n, false) && this.term === term + 1n && !this.stopped) {
                this.lead();
            }
        }
        finally {
            this.campaigning = false;
        }
    }

    private async enterCandidacy(term: bigint): Promise<boolean> {
        if (this.term >= term || this.stopped) {
            return false;
        }
        await this.storage.saveVote({ term, votedFor: this.memberId });
        this.term = term;
        this.leaderId = "";
        return true;
    }

    /** True when a majority, this replica included, grants its vote. */
    private async collectVotes(term: bigint, preVote: boolean): Promise<boolean> {
        const { group } = this;
        const others = getVoters(group).filter(member => member.memberId !== this.memberId);
        const missing = getQuorumSize(group) - 1;
        if (missing <= 0) {
            return true;
        }
        return new Promise(resolve => {
            let granted = 0;
            let answered = 0;
            const note = (reply: VoteReply | undefined) => {
                answered += 1;
                granted += reply?.granted ? 1 : 0;
                if (reply && reply.term > term) {
                    void this.mutex.run(() => this.enterTerm(reply.term));
                }
                if (granted >= missing || answered === others.length) {
                    resolve(granted >= missing);
                }
            };
            for (const member of others) {
                const request = create(VoteRequestSchema, {
                    candidate: this.memberId,
                    to: member.memberId,
                    term,
                    lastIndex: this.storage.log.lastIndex,
                    lastTerm: this.storage.log.lastTerm,
                    preVote,
                });
                this.environment.connect(member).requestVote(request).then(note, () => note(undefined));
            }
        });
    }

    private lead(): void {
        this.leaderId = this.memberId;
        this.environment.logger.info("control leadership won", { term: Number(this.term) });
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
            this.heardAt = this.environment.clock.now();
        }
        if (term > this.term) {
            void this.mutex.run(() => this.enterTerm(term)).catch(error => this.logFailure("term not saved", error));
        }
    }

    private wouldVote(request: VoteRequest): boolean {
        const heardLeader = this.leadership !== undefined
            || (this.leaderId !== "" && this.environment.clock.now() - this.heardAt < electionTimeoutMs);
        return request.to === this.memberId && request.term > this.term && !heardLeader && this.isUpToDate(request);
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
        this.heardAt = this.environment.clock.now();
        return true;
    }

    private isUpToDate(request: VoteRequest): boolean {
        const { lastIndex, lastTerm } = this.storage.log;
        return request.lastTerm > lastTerm || (request.lastTerm === lastTerm && request.lastIndex >= lastIndex);
    }

    /** Takes over a later term as a follower without a vote. */
    private async enterTerm(term: bigint): Promise<void> {
        if (term <= this.term) {
            return;
        }
        await this.storage.saveVote({ term, votedFor: "" });
        this.term = term;
        this.leaderId = "";
        this.stepDown(`term ${term} has begun`, term);
    }

    private async follow(term: bigint, leader: string): Promise<void> {
        await this.enterTerm(term);
        this.leaderId = leader;
        this.heardAt = this.environment.clock.now();
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
            this.log.place(added.slice(firstNew));
        }
        // Covers entries that this replica placed while it led and did not write yet.
        await log.persist();
        const matched = request.previousIndex + BigInt(request.entries.length);
        this.commit(request.commitIndex < matched ? request.commitIndex : matched);
        return create(AppendReplySchema, { term: this.term, success: true, index: matched });
    }

    /** Installs a snapshot once it is whole; returns the offset wanted next. */
    private async takeChunk(chunk: SnapshotChunk): Promise<number> {
        const { nextOffset, whole } = this.receiver.take(chunk);
        if (whole && chunk.lastIndex > this.log.commitIndex) {
            await this.log.install(fromBinary(ControlSnapshotSchema, whole));
        }
        return nextOffset;
    }

    private commit(index: bigint): void {
        this.log.commit(index, (entry, result) => {
            this.leadership?.noteApplied(entry, result);
            this.onApplied(entry, result);
        });
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
