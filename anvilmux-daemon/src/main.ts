/** Entry point of the `anvilmux` command. */

import { runCommandLine } from "./commandLine";

await runCommandLine(process.argv);
