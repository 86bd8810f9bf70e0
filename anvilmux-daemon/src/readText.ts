/** Reading of files that are named on the command line. */

import { getErrorMessage } from "@anvilmux/common";
import { readFileSync, statSync } from "node:fs";
import { exitCodes } from "./exitCodes";
import { CommandError } from "./operatorClient";

/** Throws a `CommandError` that names the file when it cannot be read or has more than `maximumBytes`. */
export const readText = (file: string, maximumBytes = Number.POSITIVE_INFINITY): string => {
    const { size, text } = readWithSize(file, maximumBytes);
    if (size > maximumBytes) {
        throw new CommandError(
            `file "${file}" is too large: ${size} bytes, at most ${maximumBytes} are accepted`,
            exitCodes.usage,
        );
    }
    return text;
};

/** Leaves out the text of a file that is too large, since it may not fit into memory. */
const readWithSize = (file: string, maximumBytes: number): { readonly size: number; readonly text: string; } => {
    try {
        const { size } = statSync(file);
        return { size, text: size > maximumBytes ? "" : readFileSync(file, "utf8") };
    }
    catch (error) {
        throw new CommandError(`file "${file}" cannot be read: ${getErrorMessage(error)}`, exitCodes.usage);
    }
};
