/** The data folder: torn tails, corruption, replaced entries and full disks. */

import { MemoryFiles, newRandom } from "@anvilmux/common";
import type { Files } from "@anvilmux/common";
import { ReplicaStorage } from "@anvilmux/control";
import type { LogEntry } from "@anvilmux/protocol";
import { ControlSnapshotSchema, LogEntrySchema } from "@anvilmux/protocol";
import { create } from "@bufbuild/protobuf";

const newEntries = (from: number, to: number, term: bigint): readonly LogEntry[] =>
    Array.from(
        { length: to - from + 1 },
        (_unused, number) =>
            create(LogEntrySchema, { index: BigInt(from + number), term, command: new Uint8Array([number]) }),
    );

const write = async (storage: ReplicaStorage, entries: readonly LogEntry[]): Promise<void> => {
    storage.log.truncateAndAppend(entries);
    await storage.log.persist();
};

const segmentName = "log-00000001.seg";

/** Inverts one byte of a file. */
const damage = async (files: Files, name: string, offset: number): Promise<void> => {
    const content = (await files.read(name))!.slice();
    content[offset] = content[offset]! ^ 0xff;
    const file = await files.openForAppend(name, 0);
    await file.write(content);
    await file.sync();
};

describe("ReplicaStorage", () => {
    test("entries, vote, snapshot and identity are restored on reopening", async () => {
        const files = new MemoryFiles();
        const storage = await ReplicaStorage.open(files, "node");
        await write(storage, newEntries(1, 5, 1n));
        await storage.saveVote({ term: 7n, votedFor: "other" });
        await storage.saveSnapshot(create(ControlSnapshotSchema, { lastIndex: 3n, lastTerm: 1n }));
        const reopened = await ReplicaStorage.open(files, "node");
        expect([reopened.memberId, reopened.vote, reopened.log.firstIndex, reopened.log.lastIndex])
            .toEqual([storage.memberId, { term: 7n, votedFor: "other" }, 4n, 5n]);
    });

    test("a torn last batch is truncated and writing continues", async () => {
        const files = new MemoryFiles();
        const storage = await ReplicaStorage.open(files, "node");
        await write(storage, newEntries(1, 5, 1n));
        const intactLength = (await files.read(segmentName))!.length;
        await write(storage, newEntries(6, 9, 1n));
        await files.openForAppend(segmentName, intactLength + 11);
        const reopened = await ReplicaStorage.open(files, "node");
        expect(reopened.log.lastIndex).toBe(5n);
        await write(reopened, newEntries(6, 7, 2n));
        expect((await ReplicaStorage.open(files, "node")).log.lastTerm).toBe(2n);
    });

    test("damage before the end of the log is an error and never repaired by dropping entries", async () => {
        const files = new MemoryFiles();
        const storage = await ReplicaStorage.open(files, "node");
        await write(storage, newEntries(1, 5, 1n));
        await write(storage, newEntries(6, 9, 1n));
        await damage(files, segmentName, 20);
        await expect(ReplicaStorage.open(files, "node")).rejects.toThrow("is damaged and is not the end of the log");
    });

    test.each(["identity", "vote", "snapshot"])("a damaged %s file is rejected", async name => {
        const files = new MemoryFiles();
        const storage = await ReplicaStorage.open(files, "node");
        await storage.saveVote({ term: 1n, votedFor: "node" });
        await storage.saveSnapshot(create(ControlSnapshotSchema, { lastIndex: 1n, lastTerm: 1n }));
        await damage(files, name, 9);
        await expect(ReplicaStorage.open(files, "node")).rejects.toThrow("checksum does not match");
    });

    test("a folder with state but without identity is rejected", async () => {
        const files = new MemoryFiles();
        await (await ReplicaStorage.open(files, "node")).saveVote({ term: 1n, votedFor: "node" });
        await files.remove("identity");
        await expect(ReplicaStorage.open(files, "node")).rejects.toThrow("no identity file");
    });

    test("entries of a later leader replace earlier ones, also after reopening", async () => {
        const files = new MemoryFiles();
        const storage = await ReplicaStorage.open(files, "node");
        await write(storage, newEntries(1, 9, 1n));
        await write(storage, newEntries(4, 5, 2n));
        const reopened = await ReplicaStorage.open(files, "node");
        expect([reopened.log.lastIndex, reopened.log.getTerm(3n), reopened.log.getTerm(4n)]).toEqual([5n, 1n, 2n]);
    });

    test("entries that a received snapshot replaced do not reappear after reopening", async () => {
        const files = new MemoryFiles();
        const storage = await ReplicaStorage.open(files, "node");
        await write(storage, newEntries(1, 9, 1n));
        // The process ends between saving the snapshot and resetting the log.
        await storage.saveSnapshot(create(ControlSnapshotSchema, { lastIndex: 5n, lastTerm: 2n }));
        const reopened = await ReplicaStorage.open(files, "node");
        expect(reopened.log.lastIndex).toBe(5n);
        await write(reopened, newEntries(6, 6, 2n));
        expect((await ReplicaStorage.open(files, "node")).log.lastIndex).toBe(6n);
    });

    test("a full disk rejects new entries and keeps old ones, and writing continues once there is space", async () => {
        const files = new MemoryFiles();
        const storage = await ReplicaStorage.open(files, "node");
        await write(storage, newEntries(1, 5, 1n));
        files.writeFailure = new Error("no space left on device");
        await expect(write(storage, newEntries(6, 6, 1n))).rejects.toThrow("the log cannot be written: no space left");
        expect(storage.log.persistedIndex).toBe(5n);
        files.writeFailure = undefined;
        await storage.log.persist();
        expect((await ReplicaStorage.open(files, "node")).log.lastIndex).toBe(6n);
    });

    test("a file whose close failed on a full disk is written to for ever", async () => {
        const files = new MemoryFiles();
        /** Handles that reject their close while the disk is full, and fail afterwards, as closed ones do. */
        const openForAppend: Files["openForAppend"] = async (name, length) => {
            const file = await files.openForAppend(name, length);
            let isClosed = false;
            return {
                write: async bytes => {
                    if (isClosed) {
                        throw new Error("file closed");
                    }
                    await file.write(bytes);
                },
                sync: file.sync,
                close: async () => {
                    isClosed = true;
                    if (files.writeFailure) {
                        throw files.writeFailure;
                    }
                },
            };
        };
        const { list, read, replace, remove, syncFolder } = files;
        const storage = await ReplicaStorage.open({ list, read, replace, remove, syncFolder, openForAppend }, "node");
        await write(storage, newEntries(1, 5, 1n));
        files.writeFailure = new Error("no space left on device");
        await expect(write(storage, newEntries(6, 6, 1n))).rejects.toThrow("the log cannot be written");
        files.writeFailure = undefined;
        await storage.log.persist();
        expect((await ReplicaStorage.open(files, "node")).log.lastIndex).toBe(6n);
    });

    test("a file that cannot be opened on a full disk fails with an error of another layer", async () => {
        const files = new MemoryFiles();
        const storage = await ReplicaStorage.open(files, "node");
        await write(storage, newEntries(1, 5, 1n));
        files.writeFailure = new Error("no space left on device");
        for (let attempt = 0; attempt < 2; attempt++) {
            await expect(write(storage, newEntries(6, 6, 1n))).rejects.toMatchObject({ code: "write-failed" });
        }
    });

    test("every crash preserves the acknowledged entries", async () => {
        const random = newRandom(5);
        const files = new MemoryFiles();
        let acknowledged = 0;
        for (let incarnation = 0; incarnation < 60; incarnation++) {
            const storage = await ReplicaStorage.open(files, "node");
            expect(Number(storage.log.lastIndex)).toBeGreaterThanOrEqual(acknowledged);
            acknowledged = Number(storage.log.lastIndex);
            await write(storage, newEntries(acknowledged + 1, acknowledged + 3, 1n));
            acknowledged += 3;
            storage.log.truncateAndAppend(newEntries(acknowledged + 1, acknowledged + 2, 1n));
            const unfinished = storage.log.persist();
            files.crash(random);
            await unfinished.catch(() => undefined);
        }
    });
});
