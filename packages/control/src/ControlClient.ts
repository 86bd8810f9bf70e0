/** Sends proposals of any instance to the leader of the control group; commands of one event loop turn are batched. */

import { atTurnEnd, newDeferred } from "@anvilmux/common";
import type { Address, Deferred, Milliseconds, ZoneId } from "@anvilmux/common";
import type { Command, CommandResult, MembershipChange, ReadGroupReply } from "@anvilmux/protocol";
import {
    ClaimCommandSchema,
    ClaimState,
    CommandSchema,
    ManifestCommandSchema,
    RecordAnswerCommandSchema,
    ReleaseClaimCommandSchema,
    ZoneDrainCommandSchema,
} from "@anvilmux/protocol";
import type { ConsensusClient } from "@anvilmux/transport";
import { create } from "@bufbuild/protobuf";
import { LeaderSearch } from "./LeaderSearch";
import type { LeaderSearchOptions } from "./LeaderSearch";

export interface ControlClientOptions extends LeaderSearchOptions {
    readonly connect: (address: Address) => ConsensusClient;
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

/** Timeout of one call. A stalled leader delays a command by about this, well within an operator's request timeout. */
const callTimeoutMs = 600;
const maximumCommandsPerMessage = 256;

export class ControlClient {
    private readonly search: LeaderSearch;
    private pending: PendingCommand[] = [];
    private flushScheduled = false;

    constructor(private readonly options: ControlClientOptions) {
        this.search = new LeaderSearch(options);
    }

    /** Submits a signed manifest. Submitting the same one again has no effect. */
    async submitManifest(envelope: string): Promise<CommandResult> {
        const value = create(ManifestCommandSchema, { envelope: Buffer.from(envelope) });
        return this.commit(create(CommandSchema, { kind: { case: "manifest", value } }));
    }

    async changeGroup(change: MembershipChange): Promise<CommandResult> {
        return this.commit(create(CommandSchema, { kind: { case: "change", value: change } }));
    }

    /**
     * Sets a zone drained or restored. `knownIndex` is the zone's order index as known when the request arrived; the
     * result is `zone-changed` when another request for the zone was committed since and is the opposite.
     */
    async setZoneDrained(
        zone: ZoneId,
        drained: boolean,
        knownIndex: bigint,
        requestedBy: string,
    ): Promise<CommandResult> {
        const value = create(ZoneDrainCommandSchema, { zone, drained, knownIndex, requestedBy });
        return this.commit(create(CommandSchema, { kind: { case: "zoneDrain", value } }));
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
        return this.search.ask(async address => {
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
            atTurnEnd(() => this.flush());
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
            const reply = await this.search.ask(async address => {
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
