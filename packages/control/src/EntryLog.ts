/**
 * The replicated log on disk: segment files of framed batches. A batch that begins at or before the last index
 * replaces the entries from its first index on, so that no file is ever truncated except for a torn tail.
 */

import { getErrorMessage } from "@anvilmux/common";
import type { AppendFile, Files } from "@anvilmux/common";
import type { LogEntry } from "@anvilmux/protocol";
import { AppendRequestSchema } from "@anvilmux/protocol";
import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import { segmentBytes } from "./constants";
import { StorageError } from "./errors";
import { decodeFrame, encodeFrame, findFrame } from "./frame";

const segmentPattern = /^log-(\d{8})\.seg$/;

const toSegmentName = (number: number): string => `log-${String(number).padStart(8, "0")}.seg`;

interface Segment {
    readonly number: number;
    /** Highest index written to the segment. */
    lastIndex: bigint;
    bytes: number;
}

export class EntryLog {
    /** Entries after `baseIndex`, in order. */
    private entries: LogEntry[] = [];
    private baseIndex = 0n;
    private baseTerm = 0n;
    private durableIndex = 0n;
    /** Set while reading when the entries after the snapshot belong to a log that the snapshot replaced. */
    private conflictsWithSnapshot = false;
    private segments: Segment[] = [];
    private file: AppendFile | undefined;

    private constructor(private readonly files: Files) {}

    /** Reads the log after a snapshot that ends at `baseIndex`. Throws `StorageError` if a segment is corrupt. */
    static async open(files: Files, baseIndex: bigint, baseTerm: bigint): Promise<EntryLog> {
        const log = new EntryLog(files);
        log.baseIndex = baseIndex;
        log.baseTerm = baseTerm;
        const names = (await files.list()).filter(name => segmentPattern.test(name));
        for (const [position, name] of names.entries()) {
            await log.readSegment(name, position === names.length - 1);
        }
        if (log.conflictsWithSnapshot) {
            await log.reset(baseIndex, baseTerm);
        }
        log.durableIndex = log.lastIndex;
        return log;
    }

    get firstIndex(): bigint {
        return this.baseIndex + 1n;
    }

    get lastIndex(): bigint {
        return this.baseIndex + BigInt(this.entries.length);
    }

    /** Last index that is synced to disk. */
    get persistedIndex(): bigint {
        return this.durableIndex;
    }

    get lastTerm(): bigint {
        return this.getTerm(this.lastIndex)!;
    }

    /** Undefined for an index that is not in the log. */
    getTerm(index: bigint): bigint | undefined {
        return index === this.baseIndex ? this.baseTerm : this.entries[Number(index - this.baseIndex) - 1]?.term;
    }

    getEntry(index: bigint): LogEntry | undefined {
        return this.entries[Number(index - this.baseIndex) - 1];
    }

    /** Entries from index `from` on, limited in number and bytes; the first is returned whatever its size. */
    getEntries(from: bigint, maximumCount: number, maximumBytes: number): readonly LogEntry[] {
        const start = Number(from - this.baseIndex) - 1;
        const result: LogEntry[] = [];
        let bytes = 0;
        for (let position = start; position < this.entries.length && result.length < maximumCount; position++) {
            const entry = this.entries[position]!;
            bytes += entry.command.length;
            if (result.length > 0 && bytes > maximumBytes) {
                break;
            }
            result.push(entry);
        }
        return result;
    }

    /** The index before the entries up to `last`, at most so many and of such a size in all. */
    getIndexBefore(last: bigint, maximumCount: number, maximumBytes: number): bigint {
        let index = last;
        let bytes = this.getEntry(index)?.command.length ?? 0;
        while (index > this.baseIndex && last - index < BigInt(maximumCount) && bytes <= maximumBytes) {
            index -= 1n;
            bytes += this.getEntry(index)?.command.length ?? 0;
        }
        return index;
    }

    /** Index that the leader should send next if the previous entry is missing or differs; undefined if it matches. */
    findConflict(previousIndex: bigint, previousTerm: bigint): bigint | undefined {
        if (previousIndex < this.baseIndex) {
            return undefined;
        }
        const present = this.getTerm(previousIndex);
        if (present === previousTerm) {
            return undefined;
        }
        if (present === undefined) {
            return this.lastIndex + 1n;
        }
        let index = previousIndex;
        while (index > this.firstIndex && this.getTerm(index - 1n) === present) {
            index -= 1n;
        }
        return index;
    }

    /** Appends entries in memory, replacing existing ones from the index of the first on. */
    truncateAndAppend(added: readonly LogEntry[]): void {
        if (added.length === 0) {
            return;
        }
        const first = added[0]!.index;
        this.entries.length = Math.max(0, Number(first - this.baseIndex) - 1);
        this.entries.push(...added);
        this.durableIndex = minimum(this.durableIndex, first - 1n);
    }

    /** Writes and syncs every entry that was added in memory since the last call. Calls must not overlap. */
    async persist(): Promise<void> {
        const added = this.entries.slice(Number(this.durableIndex - this.baseIndex));
        if (added.length === 0) {
            return;
        }
        const last = added.at(-1)!;
        const batch = create(AppendRequestSchema, { entries: added });
        const frame = encodeFrame(toBinary(AppendRequestSchema, batch));
        let segment: Segment;
        try {
            segment = await this.getWritableSegment();
            await this.file!.write(frame);
            await this.file!.sync();
        }
        catch (error) {
            // The next write reopens the file and truncates any part of the batch that was written.
            await this.closeFile().catch(() => undefined);
            throw new StorageError("write-failed", `the log cannot be written: ${getErrorMessage(error)}`, error);
        }
        segment.bytes += frame.length;
        segment.lastIndex = maximum(segment.lastIndex, last.index);
        if (this.getEntry(last.index) === last) {
            this.durableIndex = last.index;
        }
    }

    /** Drops entries up to `index`, which a durable snapshot covers, and removes segments no longer needed. */
    async compact(index: bigint): Promise<void> {
        const term = this.getTerm(index);
        if (term === undefined || index <= this.baseIndex) {
            return;
        }
        this.entries = this.entries.slice(Number(index - this.baseIndex));
        this.baseIndex = index;
        this.baseTerm = term;
        while (this.segments.length > 1 && this.segments[0]!.lastIndex <= index) {
            await this.files.remove(toSegmentName(this.segments.shift()!.number));
        }
    }

    /** Replaces the log by an empty one that starts after a snapshot, which was installed or conflicts with entries. */
    async reset(baseIndex: bigint, baseTerm: bigint): Promise<void> {
        await this.closeFile();
        for (const segment of this.segments) {
            await this.files.remove(toSegmentName(segment.number));
        }
        await this.files.syncFolder();
        const nextNumber = (this.segments.at(-1)?.number ?? 0) + 1;
        this.segments = [];
        this.entries = [];
        this.baseIndex = baseIndex;
        this.baseTerm = baseTerm;
        this.durableIndex = baseIndex;
        this.conflictsWithSnapshot = false;
        await this.startSegment(nextNumber);
    }

    async close(): Promise<void> {
        await this.closeFile();
    }

    private async getWritableSegment(): Promise<Segment> {
        const last = this.segments.at(-1);
        if (!last || last.bytes >= segmentBytes) {
            await this.closeFile();
            return this.startSegment((last?.number ?? 0) + 1);
        }
        this.file ??= await this.files.openForAppend(toSegmentName(last.number), last.bytes);
        return last;
    }

    private async startSegment(number: number): Promise<Segment> {
        this.file = await this.files.openForAppend(toSegmentName(number), 0);
        await this.files.syncFolder();
        const segment = { number, lastIndex: 0n, bytes: 0 };
        this.segments.push(segment);
        return segment;
    }

    /** A file whose close fails is closed all the same. */
    private async closeFile(): Promise<void> {
        const { file } = this;
        this.file = undefined;
        await file?.close();
    }

    private async readSegment(name: string, isLast: boolean): Promise<void> {
        const content = await this.files.read(name) ?? new Uint8Array();
        const segment: Segment = { number: Number(segmentPattern.exec(name)![1]), lastIndex: 0n, bytes: 0 };
        this.segments.push(segment);
        for (let frame = decodeFrame(content, 0); frame; frame = decodeFrame(content, segment.bytes)) {
            const batch = fromBinary(AppendRequestSchema, frame.payload).entries;
            this.replay(batch, name);
            segment.bytes = frame.end;
            segment.lastIndex = batch.reduce((highest, entry) => maximum(highest, entry.index), segment.lastIndex);
        }
        if (segment.bytes < content.length) {
            requireTornTail(name, content, segment.bytes, isLast);
        }
    }

    private replay(batch: readonly LogEntry[], name: string): void {
        const first = batch[0];
        if (!first) {
            return;
        }
        if (first.index <= this.baseIndex) {
            const atBase = batch.find(entry => entry.index === this.baseIndex);
            this.conflictsWithSnapshot = atBase !== undefined && atBase.term !== this.baseTerm;
            this.entries = [];
        }
        const needed = this.conflictsWithSnapshot ? [] : batch.filter(entry => entry.index > this.baseIndex);
        if (needed.length > 0 && needed[0]!.index > this.lastIndex + 1n) {
            throw new StorageError(
                "log-gap",
                `${name}: entry ${needed[0]!.index} follows entry ${this.lastIndex}; entries between them are missing`,
            );
        }
        this.truncateAndAppend(needed);
    }
}

/** Throws unless the damage is a torn tail: after a crash only the last batch of the last segment may be incomplete. */
const requireTornTail = (name: string, content: Uint8Array, offset: number, isLast: boolean): void => {
    const later = findFrame(content, offset + 1);
    if (!isLast || later !== undefined) {
        throw new StorageError(
            "corrupt-log",
            `${name}: the record at byte ${offset} is damaged and is not the end of the log; `
                + "restore the file or replace this replica",
        );
    }
};

const minimum = (left: bigint, right: bigint): bigint => left < right ? left : right;

const maximum = (left: bigint, right: bigint): bigint => left > right ? left : right;
