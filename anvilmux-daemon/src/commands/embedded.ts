/** `anvilmux embedded`: runs a deployment in one process and checks every answer. */

import { setLogDestination } from "@anvilmux/telemetry";
import type { Sade } from "sade";
import { runEmbedded } from "../embedded";
import type { EmbeddedRow } from "../embedded";

export const registerEmbedded = (program: Sade): void => {
    program.command("embedded")
        .describe("Run a one-machine deployment with stand-ins and check its answers")
        .option("--keep", "Stay up until interrupted")
        .option("--data-folder", "Folder for control state, kept afterwards")
        .option("--json", "Print the summary as JSON")
        .action(
            async (options: { readonly keep?: boolean; readonly "data-folder"?: string; readonly json?: boolean; }) => {
                setLogDestination(line => process.stderr.write(line + "\n"));
                const { deployment, rows, allRight } = await runEmbedded(options["data-folder"]);
                process.stdout.write(options.json ? JSON.stringify({ rows, allRight }) + "\n" : toTable(rows));
                if (options.keep) {
                    const addresses = deployment.getInstanceIds().map(id =>
                        `  ${id}  http://${deployment.getPublicAddress(id)}`
                    );
                    process.stdout.write(`running until interrupted:\n${addresses.join("\n")}\n`);
                    await new Promise(resolve => process.once("SIGINT", resolve).once("SIGTERM", resolve));
                }
                await deployment.stop();
                process.exit(allRight ? 0 : 1);
            },
        );
};

const toTable = (rows: readonly EmbeddedRow[]): string => {
    const width = Math.max(...rows.map(row => row.check.length));
    const lines = rows.map(row =>
        `${row.right === row.total ? "right" : "WRONG"}  ${row.check.padEnd(width)}  `
        + `${row.right}/${row.total}  ${row.milliseconds.toFixed(0)} ms`
    );
    return lines.join("\n") + "\n";
};
