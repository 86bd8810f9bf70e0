/** The command line: one module for each command. */

import { getErrorMessage } from "@anvilmux/common";
import sade from "sade";
import { registerEmbedded } from "./commands/embedded";
import { registerServe } from "./commands/serve";
import { exitCodes } from "./exitCodes";

export const runCommandLine = async (argumentValues: readonly string[]): Promise<void> => {
    const program = sade("anvilmux");
    program.version("0.1.0");
    registerEmbedded(program);
    registerServe(program);
    try {
        await program.parse([...argumentValues]);
    }
    catch (error) {
        process.stderr.write(`anvilmux: ${getErrorMessage(error)}\n`);
        process.exit(exitCodes.failure);
    }
};
