/**
 * Runs jest with the given arguments. Without a pattern for test names it passes over the tests that KNOWN-RED.txt lists:
 * entries that begin with `npm test -- PATH -t "FULL NAME"`. Without any pattern it first runs the tests that check the
 * memory of processes, by themselves, and then all others.
 */

import { run } from "jest";
import { spawnSync } from "node:child_process";
import { readFileSync } from "node:fs";

/** Tests that flood real programs: beside others they would slow both, so they run one after the other. */
const testsRunAlone = ["Callers", "Clients", "Control", "Entries"]
    .map(name => `platform/tests/untrusted${name}.test.ts`);

const entryPattern = /^npm test -- \S+ -t "(.+)"$/gm;

const escape = text => text.replace(/[.*+?^${}()|[\]\\]/g, "\\$&");

const knownRed = [...readFileSync(new URL("../KNOWN-RED.txt", import.meta.url), "utf8").matchAll(entryPattern)]
    .map(([, name]) => name);

const getPassedOver = () =>
    knownRed.length === 0 ? [] : ["--testNamePattern", `^(?!(${knownRed.map(escape).join("|")})$)`];

// The command of an entry names its test literally, while jest reads a name as a pattern, brackets included.
const given = process.argv.slice(2).map(argument => knownRed.includes(argument) ? escape(argument) : argument);
const isNamed = given.some(argument => /^(-t|--testNamePattern)(=|$)/.test(argument));
const isWholeRun = given.every(argument => argument.startsWith("-"));
const ignored = isWholeRun && !isNamed ? ["/node_modules/", ...testsRunAlone] : [];
if (ignored.length > 0) {
    const command = ["--experimental-vm-modules", import.meta.filename, "--runInBand", ...testsRunAlone, ...given];
    const { status } = spawnSync(process.execPath, command, { stdio: "inherit" });
    process.exitCode = status ?? 1;
}
await run([
    ...isNamed ? [] : getPassedOver(),
    ...ignored.map(pattern => `--testPathIgnorePatterns=${pattern}`),
    ...given,
]);
