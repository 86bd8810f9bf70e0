/** Finds in log lines what was decided for one request, and what its instances believed meanwhile. */

import { safeParseJson } from "@anvilmux/common";
import * as z from "zod";

const lineSchema = z.object({
    context: z.record(z.string(), z.unknown()).default({}),
    message: z.string(),
    time: z.number(),
});

export interface ExplainedLine {
    /** Wall time in milliseconds. */
    readonly time: number;
    readonly instance: string;
    readonly message: string;
    readonly fields: Readonly<Record<string, unknown>>;
    /** False for a change of what an instance believed while the request was open. */
    readonly isAboutRequest: boolean;
}

/** Time before and after a request in which changes of belief are shown. */
const surroundingMs = 1_000;
/** Fields that are shown apart or tell nothing here. */
const hiddenFields = new Set(["instance", "zone", "logLevel"]);
/** Lines of other requests. */
const requestFields = ["job", "task"];

/** Reads a line, also behind a prefix; undefined when it is not a log line. */
const parseLine = (text: string): ExplainedLine | undefined => {
    const start = text.indexOf("{");
    if (start < 0) {
        return undefined;
    }
    const parsed = lineSchema.safeParse(safeParseJson(text.slice(start)));
    if (!parsed.success) {
        return undefined;
    }
    const { context, message, time } = parsed.data;
    const fields = Object.fromEntries(Object.entries(context).filter(([name]) => !hiddenFields.has(name)));
    return { time, instance: String(context["instance"] ?? "unknown"), message, fields, isAboutRequest: false };
};

const isAbout = (line: ExplainedLine, id: string): boolean =>
    line.fields["job"] === id || String(line.fields["task"] ?? "").startsWith(`${id}.`);

const isAboutAnyRequest = (line: ExplainedLine): boolean => requestFields.some(name => name in line.fields);

/** The lines of a request in order of time, with what its instances noted about others meanwhile. */
export const explainLogs = (lines: Iterable<string>, id: string): readonly ExplainedLine[] => {
    const parsed = [...lines].flatMap(text => parseLine(text) ?? []);
    const own = parsed.filter(line => isAbout(line, id)).map(line => ({ ...line, isAboutRequest: true }));
    if (own.length === 0) {
        return [];
    }
    const instances = new Set(own.map(line => line.instance));
    const from = Math.min(...own.map(line => line.time)) - surroundingMs;
    const until = Math.max(...own.map(line => line.time)) + surroundingMs;
    const beliefs = parsed.filter(line =>
        instances.has(line.instance) && line.time >= from && line.time <= until && !isAboutAnyRequest(line)
    );
    return [...own, ...beliefs].sort((one, other) => one.time - other.time);
};

/** One line of text for an explained line, with its time relative to `origin`. */
export const formatExplainedLine = (line: ExplainedLine, origin: number): string => {
    const fields = Object.entries(line.fields).map(([name, value]) => `${name}=${String(value)}`).join(" ");
    const mark = line.isAboutRequest ? " " : "~";
    const offset = `${line.time - origin >= 0 ? "+" : ""}${line.time - origin} ms`;
    return `${mark} ${offset.padStart(10)}  ${line.instance}  ${line.message}  ${fields}`;
};
