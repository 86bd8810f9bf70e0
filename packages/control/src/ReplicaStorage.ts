/** The data folder of a replica: identity, vote, snapshot and log. */

import { getErrorMessage, newRandomId, toMemberId } from "@anvilmux/common";
import type { Files, MemberId } from "@anvilmux/common";
import type { ControlSnapshot } from "@anvilmux/protocol";
import { ControlSnapshotSchema } from "@anvilmux/protocol";
import { fromBinary, toBinary } from "@bufbuild/protobuf";
import * as z from "zod";
import { storageFormat } from "./constants";
import { EntryLog } from "./EntryLog";
import { StorageError } from "./errors";
import { decodeFrame, encodeFrame } from "./frame";

const identityName = "identity";
const voteName = "vote";
const snapshotName = "snapshot";

const identitySchema = z.strictObject({ format: z.literal(storageFormat), memberId: z.string() });
const voteSchema = z.strictObject({ term: z.string(), votedFor: z.string() });

/** The latest term a replica has seen and the candidate it voted for in it. */
export interface Vote {
    readonly term: bigint;
    readonly votedFor: string;
}

export class ReplicaStorage {
    private constructor(
        private readonly files: Files,
        readonly memberId: MemberId,
        readonly log: EntryLog,
        private currentVote: Vote,
        private currentSnapshot: ControlSnapshot | undefined,
    ) {}

    /** Opens the data folder, giving an empty one a new identity. Throws `StorageError` when it is damaged. */
    static async open(files: Files, instanceId: string): Promise<ReplicaStorage> {
        const memberId = await readOrCreateIdentity(files, instanceId);
        const vote = await readVote(files);
        const snapshot = await readSnapshot(files);
        const log = await EntryLog.open(files, snapshot?.lastIndex ?? 0n, snapshot?.lastTerm ?? 0n);
        return new ReplicaStorage(files, memberId, log, vote, snapshot);
    }

    get vote(): Vote {
        return this.currentVote;
    }

    get snapshot(): ControlSnapshot | undefined {
        return this.currentSnapshot;
    }

    /** Persists term and vote. */
    async saveVote(vote: Vote): Promise<void> {
        const text = JSON.stringify({ term: vote.term.toString(), votedFor: vote.votedFor });
        await this.files.replace(voteName, encodeFrame(Buffer.from(text)));
        this.currentVote = vote;
    }

    /** Persists a snapshot. The log is compacted separately. */
    async saveSnapshot(snapshot: ControlSnapshot): Promise<void> {
        await this.files.replace(snapshotName, encodeFrame(toBinary(ControlSnapshotSchema, snapshot)));
        this.currentSnapshot = snapshot;
    }

    async close(): Promise<void> {
        await this.log.close();
    }
}

const readDocument = async <T>(files: Files, name: string, schema: z.ZodType<T>): Promise<T | undefined> => {
    const content = await files.read(name);
    if (!content) {
        return undefined;
    }
    const frame = decodeFrame(content, 0);
    if (!frame) {
        throw new StorageError("corrupt-file", `${name}: checksum does not match; replace this replica`);
    }
    try {
        return schema.parse(JSON.parse(Buffer.from(frame.payload).toString()));
    }
    catch (error) {
        throw new StorageError("corrupt-file", `${name}: ${getErrorMessage(error)}`, error);
    }
};

const readOrCreateIdentity = async (files: Files, instanceId: string): Promise<MemberId> => {
    const identity = await readDocument(files, identityName, identitySchema);
    if (identity) {
        return toMemberId(identity.memberId);
    }
    const names = await files.list();
    if (names.some(name => name === voteName || name === snapshotName || name.startsWith("log-"))) {
        throw new StorageError(
            "missing-identity",
            "the data folder has state but no identity file; replace this replica",
        );
    }
    const memberId = toMemberId(`${instanceId}~${newRandomId()}`);
    const text = JSON.stringify({ format: storageFormat, memberId });
    await files.replace(identityName, encodeFrame(Buffer.from(text)));
    return memberId;
};

const readVote = async (files: Files): Promise<Vote> => {
    const vote = await readDocument(files, voteName, voteSchema);
    return vote ? { term: BigInt(vote.term), votedFor: vote.votedFor } : { term: 0n, votedFor: "" };
};

const readSnapshot = async (files: Files): Promise<ControlSnapshot | undefined> => {
    const content = await files.read(snapshotName);
    if (!content) {
        return undefined;
    }
    const frame = decodeFrame(content, 0);
    if (!frame) {
        throw new StorageError("corrupt-snapshot", "snapshot: checksum does not match; replace this replica");
    }
    return fromBinary(ControlSnapshotSchema, frame.payload);
};
