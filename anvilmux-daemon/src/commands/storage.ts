/** `anvilmux storage check FOLDER`: verifies a data folder offline without changing its files. */

import { newFolderFiles } from "@anvilmux/common";
import { ReplicaStorage } from "@anvilmux/control";
import type { Sade } from "sade";
import { print } from "../operatorClient";

export const registerStorage = (program: Sade): void => {
    program.command("storage check <folder>")
        .describe("Check a data folder offline; stop its instance first")
        .option("--json", "Print JSON")
        .action(async (folder: string, flags: { readonly json?: boolean; }) => {
            const files = newFolderFiles(folder);
            // Rejects writes, so that opening an empty folder does not create a member identity in it.
            const storage = await ReplicaStorage.open(
                { ...files, replace: rejectWrite, openForAppend: rejectWrite },
                "check",
            );
            const { log, snapshot, vote, memberId } = storage;
            const result = {
                memberId,
                term: Number(vote.term),
                snapshotIndex: Number(snapshot?.lastIndex ?? 0n),
                firstIndex: Number(log.firstIndex),
                lastIndex: Number(log.lastIndex),
            };
            print(flags, result, [
                `member ${result.memberId}, term ${result.term}`,
                `snapshot up to ${result.snapshotIndex}, log ${result.firstIndex} to ${result.lastIndex}: whole`,
            ]);
        });
};

const rejectWrite = async (): Promise<never> => {
    throw new Error("the folder holds no control state, or needs a repair that only a start makes");
};
