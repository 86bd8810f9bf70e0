/** The command line: one module for each command. */

import sade from "sade";
import { registerEmbedded } from "./commands/embedded";

export const runCommandLine = async (argumentValues: readonly string[]): Promise<void> => {
    const program = sade("anvilmux");
    program.version("0.1.0");
    registerEmbedded(program);
    await program.parse([...argumentValues]);
};
