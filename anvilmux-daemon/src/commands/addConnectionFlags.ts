/** Adds the flags of commands that send requests to a deployment. */

import type { Sade } from "sade";

export const addConnectionFlags = (command: Sade): Sade =>
    command
        .option("--entry", "Public address of any instance [ANVILMUX_ENTRY]")
        .option("--token", "Operator token [ANVILMUX_OPERATOR_TOKEN]")
        .option("--json", "Print JSON");
