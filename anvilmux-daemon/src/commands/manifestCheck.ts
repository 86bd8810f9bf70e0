/** `anvilmux manifest check`: what control refuses in a manifest, what is doubtful, and what changes. */

import { readTrustedKeys, settingDefinitions } from "@anvilmux/anvilmux";
import { getErrorMessage } from "@anvilmux/common";
import { maximumEnvelopeBytes } from "@anvilmux/manifest";
import type { ParsedManifest, TrustedKeys } from "@anvilmux/manifest";
import { checkCandidate, readCurrent, readServedServices } from "@anvilmux/manifest-check";
import type { CheckContext, CheckReport, Difference, Verdict } from "@anvilmux/manifest-check";
import { createPublicKey } from "node:crypto";
import { existsSync } from "node:fs";
import type { Sade } from "sade";
import { exitCodes } from "../exitCodes";
import { CommandError, print, sendOperatorRequest, toColumns } from "../operatorClient";
import type { ConnectionFlags } from "../operatorClient";
import { readText } from "../readText";

interface CheckFlags extends Omit<ConnectionFlags, "entry"> {
    readonly against?: unknown;
    readonly "trusted-keys"?: unknown;
    /** Arguments after the file. */
    readonly _?: readonly string[];
}

const exitCodeByVerdict: Readonly<Record<Verdict, number>> = { sound: 0, doubtful: 1, invalid: 2 };

export const registerManifestCheck = (program: Sade): void => {
    program.command("manifest check [file]")
        .describe("Check a manifest or signed envelope; exits with 0 sound, 1 doubtful, 2 invalid")
        .option("--against", "File with the manifest in force, or address of an instance to ask for it")
        .option("--trusted-keys", "Public keys that verify an envelope's signature, as KEYID=FILE,KEYID=FILE")
        .option("--token", "Operator token [ANVILMUX_OPERATOR_TOKEN]")
        .option("--json", "Print JSON")
        .action(check);
};

const check = async (file: string | undefined, flags: CheckFlags): Promise<void> => {
    // Declared as optional, since the parser of commands ends with exit code 1 when a required argument is missing.
    if (file === undefined) {
        throw new CommandError("manifest check: FILE must be given, before any flags", exitCodes.usage);
    }
    if (flags._ && flags._.length > 0) {
        throw new CommandError(`manifest check: one FILE is checked, not also ${flags._.join(", ")}`, exitCodes.usage);
    }
    try {
        const text = readText(file, maximumEnvelopeBytes);
        const report = checkCandidate(text, await readContext(flags));
        const comparison = toComparisonLines(report, getText(flags, "against"));
        print(flags, { file, ...report }, [...toLines(file, report), ...comparison]);
        process.exitCode = exitCodeByVerdict[report.verdict];
    }
    catch (error) {
        // Exit code 1 tells of a doubtful manifest, so a check that could not be made ends with another one.
        throw error instanceof CommandError ? error : new CommandError(getErrorMessage(error), exitCodes.usage);
    }
};

const readContext = async (flags: CheckFlags): Promise<CheckContext> => {
    const trustedKeys = readKeys(getText(flags, "trusted-keys"));
    const against = getText(flags, "against");
    if (against === undefined) {
        return { trustedKeys };
    }
    if (existsSync(against)) {
        return { trustedKeys, current: readCurrentFile(against) };
    }
    if (!addressPattern.test(against)) {
        throw new CommandError(`--against "${against}" is neither a file nor HOST:PORT or a URL`, exitCodes.usage);
    }
    return { trustedKeys, ...await askInstance(against, flags) };
};

/** The value of a flag; the parser of flags gives numbers and booleans for some texts. */
const getText = (flags: CheckFlags, name: "against" | "trusted-keys"): string | undefined => {
    const value = flags[name];
    if (value === true || value === "") {
        throw new CommandError(`--${name} needs a value`, exitCodes.usage);
    }
    return value === undefined ? undefined : String(value);
};

const readKeys = (text: string | undefined): TrustedKeys | undefined => {
    if (text === undefined) {
        return undefined;
    }
    const parsed = settingDefinitions["trusted-keys"].schema.safeParse(text);
    if (!parsed.success) {
        const reason = parsed.error.issues.map(issue => issue.message).join(", ");
        throw new CommandError(`--trusted-keys: ${reason}`, exitCodes.usage);
    }
    const keys = readTrustedKeys(parsed.data);
    keys.forEach(requirePublicKey);
    return keys;
};

const requirePublicKey = (pem: string, keyId: string): void => {
    try {
        createPublicKey(pem);
    }
    catch (error) {
        const message = `--trusted-keys: the file of "${keyId}" is not a public key: ${getErrorMessage(error)}`;
        throw new CommandError(message, exitCodes.usage);
    }
};

const readCurrentFile = (file: string): ParsedManifest => {
    const text = readText(file, maximumEnvelopeBytes);
    try {
        return readCurrent(text);
    }
    catch (error) {
        throw new CommandError(`file "${file}" is not a valid manifest: ${getErrorMessage(error)}`, exitCodes.usage);
    }
};

const addressPattern = /^https?:\/\/|^[\w.[\]:-]+:\d{1,5}$/;

const askInstance = async (address: string, flags: CheckFlags): Promise<CheckContext> => {
    try {
        const connection = { entry: address, token: flags.token };
        const [shown, upstreams, workers] = await Promise.all([
            findCurrent(connection),
            sendOperatorRequest(connection, "GET", "/v1/upstreams"),
            sendOperatorRequest(connection, "GET", "/v1/workers"),
        ]);
        const current = shown === undefined ? undefined : readCurrent(JSON.stringify(shown));
        return { current, served: readServedServices(upstreams, workers) };
    }
    catch (error) {
        throw new CommandError(`${address} cannot be asked: ${getErrorMessage(error)}`, exitCodes.unreachable);
    }
};

/**
 * Undefined when no manifest is in force. A server that is no instance answers with 404 as well; the lists of upstreams
 * and workers, which every instance has, tell them apart.
 */
const findCurrent = async (connection: ConnectionFlags): Promise<unknown> => {
    try {
        return await sendOperatorRequest(connection, "GET", "/v1/manifests/current");
    }
    catch (error) {
        if (error instanceof CommandError && error.statusCode === 404) {
            return undefined;
        }
        throw error;
    }
};

const toLines = (file: string, { verdict, version, findings }: CheckReport): readonly string[] => {
    const rows = findings.map(({ severity, pointer, code, text }) => [`  ${severity}`, pointer || "/", code, text]);
    return [
        `${file}: ${verdict}${version === undefined ? "" : `, version ${version}`}`,
        ...toColumns(rows.map(toPrintable)),
    ];
};

/** Names and texts may hold line ends and other control characters, and each finding or difference takes one line. */
const toPrintable = (row: readonly string[]): readonly string[] => row.map(cell => cell.replace(/\p{Cc}+/gu, " "));

const toComparisonLines = (report: CheckReport, against: string | undefined): readonly string[] => {
    const { version, differences, currentVersion } = report;
    if (differences) {
        return toDifferenceLines(differences, `version ${currentVersion}`);
    }
    return against === undefined || version === undefined ? [] : [`no manifest is in force at ${against}`];
};

const toDifferenceLines = (differences: readonly Difference[], current: string): readonly string[] => [
    differences.length === 0 ? `no differences from ${current}` : `differences from ${current}:`,
    ...toColumns(
        differences.map(difference => [
            `  ${difference.kind}`,
            difference.pointer || "/",
            [difference.entry, difference.fields.map(toChangeText).join(", ")].filter(text => text !== "").join(": "),
        ]).map(toPrintable),
    ),
];

const toChangeText = ({ field, before, after }: Difference["fields"][number]): string =>
    `${field} ${toValueText(before)} -> ${toValueText(after)}`;

const toValueText = (value: unknown): string => value === undefined ? "(none)" : JSON.stringify(value);
