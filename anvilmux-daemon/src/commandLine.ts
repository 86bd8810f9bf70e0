/** The command line; each group of commands has its own module in `commands`. */

import { getSettingNames } from "@anvilmux/anvilmux";
import { getErrorMessage } from "@anvilmux/common";
import { ManifestError } from "@anvilmux/manifest";
import sade from "sade";
import { registerEmbedded } from "./commands/embedded";
import { registerManifest } from "./commands/manifest";
import { registerOperate } from "./commands/operate";
import { registerServe } from "./commands/serve";
import { registerStorage } from "./commands/storage";
import { registerZone } from "./commands/zone";
import { exitCodes } from "./exitCodes";
import { findNearestName } from "./nearestName";
import { CommandError } from "./operatorClient";

const version = "0.1.0";

const commandFlags = [
    "entry",
    "token",
    "against",
    "json",
    "key",
    "key-id",
    "keep",
    "logs",
    "data-folder",
    "print-settings",
    "help",
    "version",
];

/** Exits with a usage error for an unknown flag, suggesting the closest known one. */
const rejectUnknownFlag = (flag: string): string => {
    const nearest = findNearestName(flag.replace(/^-+/, ""), [...getSettingNames(), ...commandFlags]);
    process.stderr.write(`anvilmux: unknown flag ${flag}${nearest ? `; did you mean --${nearest}?` : ""}\n`);
    process.exit(exitCodes.usage);
};

export const runCommandLine = async (argumentValues: readonly string[]): Promise<void> => {
    const program = sade("anvilmux");
    program.version(version);
    [registerServe, registerEmbedded, registerManifest, registerOperate, registerStorage, registerZone].forEach(
        register => register(program),
    );
    const parsed = program.parse([...argumentValues], { lazy: true, unknown: rejectUnknownFlag });
    if (!parsed) {
        return;
    }
    try {
        await parsed.handler(...parsed.args);
    }
    catch (error) {
        reportError(error);
    }
};

const reportError = (error: unknown): void => {
    if (error instanceof ManifestError) {
        error.faults.forEach(fault => process.stderr.write(`${fault.pointer || "/"}: ${fault.reason}\n`));
        process.exit(exitCodes.failure);
    }
    process.stderr.write(`anvilmux: ${getErrorMessage(error)}\n`);
    process.exit(error instanceof CommandError ? error.exitCode : exitCodes.failure);
};
