/** Files of one data folder. Bytes are durable once synced, a new or renamed file once its folder is synced. */

import { mkdir, open, readdir, readFile, rename, rm } from "node:fs/promises";
import { join } from "node:path";

/** A file open for appending. */
export interface AppendFile {
    readonly write: (bytes: Uint8Array) => Promise<void>;
    /** Makes everything written so far durable. */
    readonly sync: () => Promise<void>;
    readonly close: () => Promise<void>;
}

export interface Files {
    /** Names in the folder, sorted; creates the folder when absent. */
    readonly list: () => Promise<readonly string[]>;
    /** Undefined when the file does not exist. */
    readonly read: (name: string) => Promise<Uint8Array | undefined>;
    /** Opens for appending after truncating the file to `length` bytes. */
    readonly openForAppend: (name: string, length: number) => Promise<AppendFile>;
    /** Replaces a file atomically: writes and syncs a temporary file, renames it and syncs the folder. */
    readonly replace: (name: string, bytes: Uint8Array) => Promise<void>;
    readonly remove: (name: string) => Promise<void>;
    readonly syncFolder: () => Promise<void>;
}

const isMissing = (error: unknown): boolean => (error as NodeJS.ErrnoException).code === "ENOENT";

/** Files of a folder on disk. */
export const newFolderFiles = (folder: string): Files => {
    const syncFolder = async () => {
        const handle = await open(folder, "r");
        try {
            await handle.sync();
        }
        finally {
            await handle.close();
        }
    };
    const openForAppend = async (name: string, length: number): Promise<AppendFile> => {
        const handle = await open(join(folder, name), "a");
        try {
            await handle.truncate(length);
        }
        catch (error) {
            await handle.close();
            throw error;
        }
        return {
            write: async bytes => {
                await handle.appendFile(bytes);
            },
            sync: () => handle.datasync(),
            close: () => handle.close(),
        };
    };
    return {
        list: async () => {
            await mkdir(folder, { recursive: true });
            return (await readdir(folder)).sort();
        },
        read: async name => {
            try {
                return await readFile(join(folder, name));
            }
            catch (error) {
                if (isMissing(error)) {
                    return undefined;
                }
                throw error;
            }
        },
        openForAppend,
        replace: async (name, bytes) => {
            const temporaryName = `${name}.tmp`;
            const file = await openForAppend(temporaryName, 0);
            try {
                await file.write(bytes);
                await file.sync();
            }
            finally {
                await file.close();
            }
            await rename(join(folder, temporaryName), join(folder, name));
            await syncFolder();
        },
        remove: async name => {
            await rm(join(folder, name), { force: true });
        },
        syncFolder,
    };
};
