/** Sends proposals of any instance to the control group: finds the leader, follows its hints and batches commands. */

import { getErrorMessage, newDeferred, sleep } from "@anvilmux/common";
import type { Address, Clock, Deferred, Milliseconds, Timers } from "@anvilmux/common";
import { toAddress } from "@anvilmux/common";
import type { Command, CommandResult, MembershipChange, ReadGroupReply } from "@anvilmux/protocol";
import {
    ClaimCommandSchema,
    ClaimState,
    CommandSchema,
    ManifestCommandSchema,
    RecordAnswerCommandSchema,
    ReleaseClaimCommandSchema,
} from "@anvilmux/protocol";
import type { ConsensusClient } from "@anvilmux/transport";
import { create } from "@bufbuild/protobuf";
import { proposalTimeoutMs } from "./constants";
import { ControlError } from "./errors";

export interface ControlClientOptions {
    /** Addresses of control instances from settings and membership. */
    readonly getControlAddresses: () => readonly Address[];
    /** The leader known to the replica in this process; undefined without a replica or a known leader. */
    readonly getKnownLeader?: () => Address | undefined;
    readonly connect: (address: Address) => ConsensusClient;
    readonly clock: Clock;
    readonly timers: Timers;
    /** Called for each proposal message sent, retries included. */
    readonly onMessage: () => void;
}

/** The result of a claim. */
export interface ClaimResult {
    readonly state: "granted" | "pending" | "mismatch" | "answered";
    readonly answer: Uint8Array;
    /** The attempt that holds the key; empty on a mismatch of request digests. */
    readonly holder: string;
}

interface PendingCommand {
    readonly command: Command;
    readonly deferred: Deferred<CommandResult>;
}

const retryDelayMs = 60;
/** Timeout of one call. A stalled leader delays a command by about this, well within an operator's request timeout. */
const callTimeoutMs = 600;
const maximumCommandsPerMessage = 256;

export class ControlClient {
    private leader: Address | undefined;
    /** The address that failed or did not lead last; not assumed to be the leader until some call succeeds. */
    private failedAddress: Address | undefined;
    private pending: PendingCommand[] = [];
    private flushScheduled = false;
    private nextAddressPosition = 0;

    constructor(private readonly options: ControlClientOptions) {}

    /** Submits a signed manifest. Submitting the same one again has no effect. */
    async submitManifest(envelope: string): Promise<CommandResult> {
        const value = create(ManifestCommandSchema, { envelope: Buffer.from(envelope) });
        return this.commit(create(CommandSchema, { kind: { case: "manifest", value } }));
    }

    async changeGroup(change: MembershipChange): Promise<CommandResult> {
        return this.commit(create(CommandSchema, { kind: { case: "change", value: change } }));
    }

    async claim(key: string, requestDigest: string, holder: string, retentionMs: Milliseconds): Promise<ClaimResult> {
        const value = create(ClaimCommandSchema, { key, requestDigest, holder, retentionMs });
        const result = await this.commit(create(CommandSchema, { kind: { case: "claim", value } }));
        return { state: toClaimState(result.claimState), answer: result.answer, holder: result.detail };
    }

    async record(key: string, holder: string, answer: Uint8Array): Promise<void> {
        const value = create(RecordAnswerCommandSchema, { key, holder, answer });
        await this.commit(create(CommandSchema, { kind: { case: "recordAnswer", value } }));
    }

    async release(key: string, holder: string): Promise<void> {
        const value = create(ReleaseClaimCommandSchema, { key, holder });
        await this.commit(create(CommandSchema, { kind: { case: "releaseClaim", value } }));
    }

    /** The group's state, confirmed by its leader; rejects with `no-quorum` when no leader responds. */
    async readGroup(): Promise<ReadGroupReply> {
        return this.withLeader(async address => {
            const reply = await this.options.connect(address).readGroup({}, { timeoutMs: callTimeoutMs });
            return { reply, notLeader: reply.notLeader, leaderHint: reply.leaderHint };
        });
    }

    /** Commits one command. Commands of one event loop turn are batched. */
    private commit(command: Command): Promise<CommandResult> {
        const deferred = newDeferred<CommandResult>();
        this.pending.push({ command, deferred });
        if (!this.flushScheduled) {
            this.flushScheduled = true;
            setImmediate(() => this.flush());
        }
        return deferred.promise;
    }

    private flush(): void {
        this.flushScheduled = false;
        while (this.pending.length > 0) {
            void this.send(this.pending.splice(0, maximumCommandsPerMessage));
        }
    }

    private async send(batch: readonly PendingCommand[]): Promise<void> {
        try {
            const commands = batch.map(item => item.command);
            const reply = await this.withLeader(async address => {
                this.options.onMessage();
                const answer = await this.options.connect(address).propose({ commands }, { timeoutMs: callTimeoutMs });
                // An unknown outcome is retried: committing a command twice has no further effect.
                const shouldRetry = answer.notLeader || answer.unknown;
                return { reply: answer, notLeader: shouldRetry, leaderHint: answer.leaderHint };
            });
            batch.forEach((item, position) => item.deferred.resolve(reply.results[position]!));
        }
        catch (error) {
            batch.forEach(item => item.deferred.reject(error));
        }
    }

    /** Calls the leader, searching for it until the proposal timeout. */
    private async withLeader<T>(
        call: (
            address: Address,
        ) => Promise<{ readonly reply: T; readonly notLeader: boolean; readonly leaderHint: string; }>,
    ): Promise<T> {
        const deadline = this.options.clock.now() + proposalTimeoutMs;
        let reason = "no control instance is known";
        let hint: Address | undefined;
        const passedOver = new Set<Address>();
        let askedSincePause: Address[] = [];
        while (this.options.clock.now() < deadline) {
            const address = hint ?? this.pickAddress(passedOver);
            hint = undefined;
            if (address) {
                askedSincePause.push(address);
                try {
                    const { reply, notLeader, leaderHint } = await call(address);
                    if (!notLeader) {
                        this.leader = address;
                        this.failedAddress = undefined;
                        return reply;
                    }
                    reason = `${address} does not lead`;
                    hint = leaderHint === "" ? undefined : toAddress(leaderHint);
                }
                catch (error) {
                    reason = getErrorMessage(error);
                }
                this.leader = undefined;
                this.failedAddress = address;
                passedOver.add(address);
            }
            if (hint === undefined || askedSincePause.includes(hint)) {
                hint = undefined;
                askedSincePause = [];
                await sleep(this.options.timers, retryDelayMs);
            }
        }
        throw new ControlError("no-quorum", `no leader of the control group answered in time (${reason})`);
    }

    /** The known leader unless it was passed over, as the local replica may be behind; otherwise each instance in turn. */
    private pickAddress(passedOver: ReadonlySet<Address>): Address | undefined {
        const known = this.options.getKnownLeader?.() ?? this.leader;
        if (known && known !== this.failedAddress && !passedOver.has(known)) {
            return known;
        }
        const addresses = this.options.getControlAddresses();
        return addresses[this.nextAddressPosition++ % addresses.length];
    }
}

const toClaimState = (state: ClaimState): ClaimResult["state"] => {
    switch (state) {
        case ClaimState.GRANTED:
            return "granted";
        case ClaimState.ANSWERED:
            return "answered";
        case ClaimState.MISMATCH:
            return "mismatch";
        default:
            return "pending";
    }
};
