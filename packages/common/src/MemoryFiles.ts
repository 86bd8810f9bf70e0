/** Files in memory that lose unsynced data when `crash` is called, for tests and model checks. */

import type { AppendFile, Files } from "./Files";
import type { Random } from "./Random";

interface MemoryFile {
    content: Uint8Array;
    syncedLength: number;
}

const concatenate = (left: Uint8Array, right: Uint8Array): Uint8Array => {
    const result = new Uint8Array(left.length + right.length);
    result.set(left);
    result.set(right, left.length);
    return result;
};

export class MemoryFiles implements Files {
    private entries = new Map<string, MemoryFile>();
    private durableNames = new Map<string, MemoryFile>();
    /** Incremented by each crash or erasure; handles opened in an earlier incarnation fail. */
    private incarnation = 0;
    /** Set to make every change of a file fail, as a full disk does; a failed write leaves half of its bytes. */
    writeFailure: Error | undefined;
    /** Injected fault: when set, syncing and replacing files make nothing durable. */
    ignoresSync = false;

    /** Drops unsynced data, except for a random prefix of each file's unsynced tail that reached the disk. */
    crash(random: Random): void {
        this.incarnation += 1;
        for (const file of this.durableNames.values()) {
            const unsynced = file.content.length - file.syncedLength;
            const survivingLength = file.syncedLength + random.integer(unsynced + 1);
            file.content = file.content.slice(0, survivingLength);
            file.syncedLength = survivingLength;
        }
        this.entries = new Map(this.durableNames);
    }

    /** Loses everything, as a replaced disk does. */
    erase(): void {
        this.incarnation += 1;
        this.entries = new Map();
        this.durableNames = new Map();
    }

    readonly list = async (): Promise<readonly string[]> => [...this.entries.keys()].sort();

    readonly read = async (name: string): Promise<Uint8Array | undefined> => this.entries.get(name)?.content;

    readonly openForAppend = async (name: string, length: number): Promise<AppendFile> => {
        const incarnation = this.incarnation;
        const file = this.entries.get(name) ?? { content: new Uint8Array(), syncedLength: 0 };
        if (!this.entries.has(name) || length < file.content.length) {
            this.checkWritable(incarnation);
        }
        file.content = file.content.slice(0, length);
        file.syncedLength = Math.min(file.syncedLength, length);
        this.entries.set(name, file);
        return {
            write: async bytes => {
                if (this.writeFailure && incarnation === this.incarnation) {
                    file.content = concatenate(file.content, bytes.slice(0, bytes.length / 2));
                }
                this.checkWritable(incarnation);
                file.content = concatenate(file.content, bytes);
            },
            sync: async () => {
                this.checkWritable(incarnation);
                if (!this.ignoresSync) {
                    file.syncedLength = file.content.length;
                }
            },
            close: async () => undefined,
        };
    };

    readonly replace = async (name: string, bytes: Uint8Array): Promise<void> => {
        this.checkWritable(this.incarnation);
        const file = { content: bytes.slice(), syncedLength: bytes.length };
        this.entries.set(name, file);
        if (!this.ignoresSync) {
            this.durableNames.set(name, file);
        }
    };

    readonly remove = async (name: string): Promise<void> => {
        this.entries.delete(name);
        this.durableNames.delete(name);
    };

    readonly syncFolder = async (): Promise<void> => {
        this.durableNames = new Map(this.entries);
    };

    private checkWritable(incarnation: number): void {
        if (incarnation !== this.incarnation) {
            throw new Error("the process that opened this file has crashed");
        }
        if (this.writeFailure) {
            throw this.writeFailure;
        }
    }
}
