/**
 * The control replica's interface to other instances. It accepts proposals while the replica leads, forms the first
 * group, and repairs the group's membership, for example after a replica lost its disk.
 */

import { getErrorMessage, sleep } from "@anvilmux/common";
import type { Address, Clock, Timers } from "@anvilmux/common";
import type { ManifestAuthority } from "@anvilmux/manifest";
import type {
    Command,
    CommandResult,
    FormReply,
    FormRequest,
    IdentifyReply,
    MembershipChange,
    ProposeReply,
    ProposeRequest,
    ReadGroupReply,
} from "@anvilmux/protocol";
import {
    CommandResultSchema,
    FormReplySchema,
    GroupConfigurationSchema,
    GroupMemberSchema,
    IdentifyReplySchema,
    ProposeReplySchema,
    ReadGroupReplySchema,
} from "@anvilmux/protocol";
import type { Logger } from "@anvilmux/telemetry";
import type { ConsensusClient } from "@anvilmux/transport";
import { create } from "@bufbuild/protobuf";
import { proposalTimeoutMs } from "./constants";
import { ControlError } from "./errors";
import { findCandidates } from "./findCandidates";
import type { AnnouncedReplica } from "./findCandidates";
import { isCaughtUp } from "./group";
import { getNextRepair } from "./groupRepair";
import { MemberHistory } from "./MemberHistory";
import type { Replica } from "./Replica";

export interface ControlServiceOptions {
    readonly replica: Replica;
    readonly selfAddress: Address;
    /** Addresses of the control instances of a new deployment, this one included. */
    readonly initialAddresses: readonly Address[];
    readonly connect: (address: Address) => ConsensusClient;
    readonly authority: ManifestAuthority;
    readonly clock: Clock;
    readonly timers: Timers;
    readonly logger: Logger;
    /** Replicas announced by other instances. */
    readonly getAnnouncedReplicas: () => readonly AnnouncedReplica[];
}

const formationPeriodMs = 200;
const repairPeriodMs = 250;

export class ControlService {
    private stopped = false;
    private readonly history: MemberHistory;

    constructor(private readonly options: ControlServiceOptions) {
        this.history = new MemberHistory(options.clock);
    }

    start(): void {
        this.options.replica.start();
        void this.formGroup();
        void this.repairGroup();
    }

    async stop(): Promise<void> {
        this.stopped = true;
        await this.options.replica.stop();
    }

    get replica(): Replica {
        return this.options.replica;
    }

    identify(): IdentifyReply {
        const { memberId, isFormed } = this.options.replica;
        return create(IdentifyReplySchema, { memberId, formed: isFormed });
    }

    async form(request: FormRequest): Promise<FormReply> {
        const group = request.group ?? create(GroupConfigurationSchema);
        return create(FormReplySchema, { accepted: await this.options.replica.form(group) });
    }

    /** Commits commands if this replica is the leader. */
    async propose(request: ProposeRequest): Promise<ProposeReply> {
        const { replica } = this.options;
        if (replica.role !== "leader") {
            return create(ProposeReplySchema, { notLeader: true, leaderHint: this.getLeaderAddress() });
        }
        try {
            const results = await Promise.all(request.commands.map(command => this.proposeCommand(command)));
            return create(ProposeReplySchema, { results });
        }
        catch (error) {
            const isUnknown = error instanceof ControlError && error.code === "outcome-unknown";
            this.options.logger.debug("proposal failed", { reason: getErrorMessage(error) });
            return create(ProposeReplySchema, {
                notLeader: !isUnknown,
                unknown: isUnknown,
                leaderHint: this.getLeaderAddress(),
            });
        }
    }

    /** The group's state, after confirming leadership with a majority. */
    async readGroup(): Promise<ReadGroupReply> {
        const { replica } = this.options;
        if (!await replica.confirmLeadership()) {
            return create(ReadGroupReplySchema, { notLeader: true, leaderHint: this.getLeaderAddress() });
        }
        return create(ReadGroupReplySchema, {
            term: replica.currentTerm,
            commitIndex: replica.commitIndex,
            configurationIndex: replica.state.manifest?.index ?? 0n,
            progress: [...replica.getProgress()],
            zones: [...replica.state.drainedZones.getRecords()],
        });
    }

    private getLeaderAddress(): string {
        const { replica } = this.options;
        const leader = replica.group.members.find(member => member.memberId === replica.leader);
        return leader?.address ?? "";
    }

    private async proposeCommand(command: Command): Promise<CommandResult> {
        const { kind } = command;
        if (kind.case === "manifest") {
            try {
                this.options.authority.verify(Buffer.from(kind.value.envelope).toString());
            }
            catch (error) {
                return create(CommandResultSchema, { reason: "invalid-manifest", detail: getErrorMessage(error) });
            }
        }
        if (kind.case === "claim" || kind.case === "recordAnswer" || kind.case === "zoneDrain") {
            kind.value.wallMs = this.options.clock.wallNow();
        }
        if (kind.case === "change") {
            return this.changeGroup(command);
        }
        return this.withTimeout(this.options.replica.propose([command])[0]!);
    }

    private async changeGroup(command: Command): Promise<CommandResult> {
        if (command.kind.case !== "change") {
            throw new ControlError("wrong-command", "the command is not a membership change");
        }
        try {
            return await this.withTimeout(this.options.replica.changeGroup(command.kind.value));
        }
        catch (error) {
            if (error instanceof ControlError && error.code !== "outcome-unknown" && error.code !== "not-leader") {
                return create(CommandResultSchema, { reason: error.code, detail: error.message });
            }
            throw error;
        }
    }

    private withTimeout<T>(promise: Promise<T>): Promise<T> {
        return new Promise((resolve, reject) => {
            const unsubscribe = this.options.timers.after(
                proposalTimeoutMs,
                () => reject(new ControlError("outcome-unknown", `not committed within ${proposalTimeoutMs} ms`)),
            );
            promise.then(resolve, reject).finally(unsubscribe);
        });
    }

    /**
     * Forms the first group. The instance with the lowest address queries all others and distributes the group
     * configuration only when no data folder belongs to a group, so that a replica that lost its disk never forms a
     * second group.
     */
    private async formGroup(): Promise<void> {
        const { replica, initialAddresses, selfAddress, timers, logger } = this.options;
        const coordinator = [...initialAddresses].sort()[0];
        while (!this.stopped && !replica.isFormed && coordinator === selfAddress) {
            try {
                if (await this.tryToForm()) {
                    logger.info("control group formed", { members: initialAddresses.length });
                    return;
                }
            }
            catch (error) {
                logger.debug("forming the control group failed", { reason: getErrorMessage(error) });
            }
            await sleep(timers, formationPeriodMs);
        }
    }

    private async tryToForm(): Promise<boolean> {
        const { replica, initialAddresses, selfAddress, connect } = this.options;
        const others = initialAddresses.filter(address => address !== selfAddress);
        const replies = await Promise.all(others.map(address => connect(address).identify({}, { timeoutMs: 1_000 })));
        if (replies.some(reply => reply.formed)) {
            throw new ControlError(
                "group-exists",
                "another replica already belongs to a group; this replica must be added to it",
            );
        }
        const members = [
            create(GroupMemberSchema, { memberId: replica.memberId, address: selfAddress, voter: true }),
            ...replies.map((reply, position) =>
                create(GroupMemberSchema, { memberId: reply.memberId, address: others[position]!, voter: true })
            ),
        ];
        const group = create(GroupConfigurationSchema, { members });
        for (const address of others) {
            await connect(address).form({ group }, { timeoutMs: 2_000 });
        }
        return replica.form(group);
    }

    /** While leading, adapts the group's membership to the running control instances. */
    private async repairGroup(): Promise<void> {
        const { timers, replica } = this.options;
        while (!this.stopped) {
            await sleep(timers, repairPeriodMs);
            if (replica.role !== "leader") {
                this.history.resetContacts();
                continue;
            }
            while (await this.repairOnce()) {
                // The next change follows at once: until the last one is made, the group bears fewer losses.
            }
        }
    }

    /** Makes the next change that the group needs; false when there is none or it was not committed. */
    private async repairOnce(): Promise<boolean> {
        const { logger, replica } = this.options;
        const change = await this.getRepair();
        if (!change || this.stopped || replica.role !== "leader") {
            return false;
        }
        this.history.recordChange(change);
        const result = await replica.changeGroup(change).catch(error => getErrorMessage(error));
        logger.info("control group repair attempted", {
            addLearner: change.addLearner?.memberId,
            promote: change.promote,
            remove: change.remove,
            result: typeof result === "string" ? result : result.reason || "done",
        });
        return typeof result !== "string";
    }

    private async getRepair(): Promise<MembershipChange | undefined> {
        const { replica, connect } = this.options;
        const reachable = replica.getProgress().filter(progress => progress.reachable);
        reachable.forEach(progress => this.history.recordContact(progress.memberId));
        const caughtUp = reachable
            .filter(progress => isCaughtUp(progress.matchIndex, replica.commitIndex))
            .map(progress => progress.memberId);
        const isReachable = (memberId: string) => reachable.some(progress => progress.memberId === memberId);
        const { members } = replica.group;
        const candidates = await findCandidates(members, this.options.getAnnouncedReplicas(), isReachable, connect);
        return getNextRepair({
            members: replica.group.members,
            candidates,
            getTimeSinceContact: memberId => this.history.getTimeSinceContact(memberId),
            isCaughtUp: memberId => caughtUp.includes(memberId),
        });
    }
}
