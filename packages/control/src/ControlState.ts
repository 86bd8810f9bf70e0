/** The replicated state: the active manifest with its history, claims of idempotency keys, and drained zones. */

import { getErrorMessage } from "@anvilmux/common";
import { newSignedAuthority } from "@anvilmux/manifest";
import type { ManifestAuthority, ParsedManifest } from "@anvilmux/manifest";
import type {
    ClaimCommand,
    ClaimRecord,
    Command,
    CommandResult,
    ControlSnapshot,
    ManifestHistoryEntry,
    RecordAnswerCommand,
    ReleaseClaimCommand,
} from "@anvilmux/protocol";
import {
    ClaimRecordSchema,
    ClaimState,
    CommandResultSchema,
    ControlSnapshotSchema,
    ManifestHistoryEntrySchema,
} from "@anvilmux/protocol";
import { create } from "@bufbuild/protobuf";
import { ZoneDrainRecords } from "./ZoneDrainRecords";

const maximumHistoryEntries = 1_000;

/** The accepted manifest. */
export interface AcceptedManifest extends ParsedManifest {
    readonly index: bigint;
    readonly envelope: Uint8Array;
}

export class ControlState {
    readonly drainedZones = new ZoneDrainRecords();
    private accepted: AcceptedManifest | undefined;
    private history: ManifestHistoryEntry[] = [];
    /** In order of claiming, so that with equal retention expired claims are at the front. */
    private claims = new Map<string, ClaimRecord>();

    constructor(private readonly authority: ManifestAuthority = newSignedAuthority(new Map())) {}

    get manifest(): AcceptedManifest | undefined {
        return this.accepted;
    }

    getHistory(): readonly ManifestHistoryEntry[] {
        return this.history;
    }

    get claimCount(): number {
        return this.claims.size;
    }

    getClaim(key: string): ClaimRecord | undefined {
        return this.claims.get(key);
    }

    /** Applies one committed command. Deterministic: the result depends only on the commands applied before. */
    apply(command: Command, index: bigint): CommandResult {
        switch (command.kind.case) {
            case "manifest":
                return this.applyManifest(command.kind.value.envelope, index);
            case "claim":
                return this.applyClaim(command.kind.value, index);
            case "releaseClaim":
                return this.applyRelease(command.kind.value, index);
            case "recordAnswer":
                return this.applyAnswer(command.kind.value, index);
            case "zoneDrain":
                return this.drainedZones.apply(command.kind.value, index);
            case "group":
            case "noOperation":
                return newResult(true, index);
            default:
                return newResult(false, index, "unknown-command", "this release does not know the command");
        }
    }

    /** The state without the group configuration and the log position, which the caller adds. */
    toSnapshot(): ControlSnapshot {
        return create(ControlSnapshotSchema, {
            manifestIndex: this.accepted?.index ?? 0n,
            manifestEnvelope: this.accepted?.envelope ?? new Uint8Array(),
            claims: [...this.claims.values()],
            history: this.history,
            zones: [...this.drainedZones.getRecords()],
        });
    }

    restore(snapshot: ControlSnapshot): void {
        this.claims = new Map(snapshot.claims.map(claim => [claim.key, claim]));
        this.history = [...snapshot.history];
        this.drainedZones.restore(snapshot.zones);
        this.accepted = snapshot.manifestIndex > 0n
            ? this.readEnvelope(snapshot.manifestEnvelope, snapshot.manifestIndex)
            : undefined;
    }

    private applyManifest(envelope: Uint8Array, index: bigint): CommandResult {
        let candidate: AcceptedManifest;
        try {
            candidate = this.readEnvelope(envelope, index);
        }
        catch (error) {
            return newResult(false, index, "invalid-manifest", getErrorMessage(error));
        }
        const unchanged = this.getUnchangedResult(candidate);
        if (unchanged) {
            return unchanged;
        }
        this.accepted = candidate;
        this.history.push(create(ManifestHistoryEntrySchema, {
            index,
            version: BigInt(candidate.manifest.version),
            digest: candidate.digest,
        }));
        this.history = this.history.slice(-maximumHistoryEntries);
        return newResult(true, index);
    }

    /** The result for a candidate that leaves the manifest unchanged; undefined if it is to be accepted. */
    private getUnchangedResult(candidate: AcceptedManifest): CommandResult | undefined {
        const current = this.accepted;
        if (!current) {
            return undefined;
        }
        const decision = this.authority.decideUpdate(current, candidate);
        switch (decision.kind) {
            case "accepted":
                return undefined;
            case "known":
                return newResult(true, current.index);
            case "refused":
                return newResult(false, candidate.index, decision.reason, decision.detail);
        }
    }

    /** Reads an envelope without verifying its signature, which the leader did before proposing it. */
    private readEnvelope(envelope: Uint8Array, index: bigint): AcceptedManifest {
        return { index, envelope, ...this.authority.read(Buffer.from(envelope).toString()) };
    }

    private applyClaim(command: ClaimCommand, index: bigint): CommandResult {
        this.expireClaims(command.wallMs);
        const present = this.claims.get(command.key);
        if (!present) {
            this.claims.set(
                command.key,
                create(ClaimRecordSchema, {
                    key: command.key,
                    requestDigest: command.requestDigest,
                    holder: command.holder,
                    expiresWallMs: command.wallMs + command.retentionMs,
                }),
            );
            return newClaimResult(index, ClaimState.GRANTED, command.holder);
        }
        if (present.requestDigest !== command.requestDigest) {
            return newClaimResult(index, ClaimState.MISMATCH);
        }
        if (present.answered) {
            return newClaimResult(index, ClaimState.ANSWERED, present.holder, present.answer);
        }
        const isHolder = present.holder === command.holder;
        return newClaimResult(index, isHolder ? ClaimState.GRANTED : ClaimState.PENDING, present.holder);
    }

    private applyRelease(command: ReleaseClaimCommand, index: bigint): CommandResult {
        const present = this.claims.get(command.key);
        if (present?.holder !== command.holder || present.answered) {
            return newResult(false, index, "not-holder", "the claim belongs to another request");
        }
        this.claims.delete(command.key);
        return newResult(true, index);
    }

    private applyAnswer(command: RecordAnswerCommand, index: bigint): CommandResult {
        const present = this.claims.get(command.key);
        if (present?.holder !== command.holder) {
            return newResult(false, index, "not-holder", "the claim belongs to another request");
        }
        if (!present.answered) {
            present.answered = true;
            present.answer = command.answer;
        }
        return newResult(true, index);
    }

    private expireClaims(wallMs: number): void {
        for (const [key, claim] of this.claims) {
            if (claim.expiresWallMs > wallMs) {
                return;
            }
            this.claims.delete(key);
        }
    }
}

const newResult = (accepted: boolean, index: bigint, reason = "", detail = ""): CommandResult =>
    create(CommandResultSchema, { accepted, index, reason, detail });

/** The result of a claim, with the holder in `detail`. */
const newClaimResult = (index: bigint, claimState: ClaimState, holder = "", answer?: Uint8Array): CommandResult =>
    create(CommandResultSchema, { accepted: true, index, claimState, detail: holder, ...(answer ? { answer } : {}) });
