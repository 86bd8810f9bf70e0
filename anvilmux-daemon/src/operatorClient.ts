/** Client of the operator interface of one instance, with the errors that commands print. */

import { getErrorMessage } from "@anvilmux/common";
import { request } from "undici";
import { exitCodes } from "./exitCodes";

/** Flags of every command that sends requests to a deployment. */
export interface ConnectionFlags {
    readonly entry?: string;
    readonly token?: string;
    readonly json?: boolean;
}

/** A failed command, with the exit code of the process, and the HTTP status where an instance refused a request. */
export class CommandError extends Error {
    constructor(message: string, readonly exitCode: number, readonly statusCode?: number) {
        super(message);
    }
}

const defaultEntry = "http://127.0.0.1:7400";
const entryVariable = "ANVILMUX_ENTRY";
const tokenVariable = "ANVILMUX_OPERATOR_TOKEN";

const getBaseUrl = (flags: ConnectionFlags): string => {
    const entry = flags.entry ?? process.env[entryVariable] ?? defaultEntry;
    return entry.includes("://") ? entry : `http://${entry}`;
};

/** Sends one request and returns the decoded answer. Throws `CommandError` when it is refused or not answered. */
export const sendOperatorRequest = async (
    flags: ConnectionFlags,
    method: "GET" | "POST",
    path: string,
    body?: string,
): Promise<unknown> => {
    const url = getBaseUrl(flags) + path;
    const token = flags.token ?? process.env[tokenVariable] ?? "";
    const response = await request(url, {
        method,
        headers: { authorization: `Bearer ${token}`, "content-type": "application/json" },
        body,
    }).catch(error => {
        throw new CommandError(`${url} does not answer: ${getErrorMessage(error)}`, exitCodes.unreachable);
    });
    const document = await response.body.json().catch(() => ({})) as {
        readonly title?: string;
        readonly detail?: string;
    };
    if (response.statusCode >= 400) {
        const message = `${document.title ?? "refused"} (${response.statusCode}): ${document.detail ?? ""}`;
        throw new CommandError(message, exitCodes.failure, response.statusCode);
    }
    return document;
};

/** Prints the document as JSON when `--json` is given, otherwise the lines. */
export const print = (flags: ConnectionFlags, document: unknown, lines: readonly string[]): void => {
    process.stdout.write(flags.json ? JSON.stringify(document) + "\n" : lines.join("\n") + "\n");
};

/** Formats rows as lines with aligned columns. */
export const toColumns = (rows: readonly (readonly string[])[]): readonly string[] => {
    const widths = (rows[0] ?? []).map((_unused, column) => Math.max(...rows.map(row => (row[column] ?? "").length)));
    return rows.map(row => row.map((cell, column) => cell.padEnd(widths[column]!)).join("  ").trimEnd());
};
