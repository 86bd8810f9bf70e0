/** Finds the log lines of one request or job, and state changes that the same instances logged around that time. */

import { safeParseJson } from "@anvilmux/common";
import * as z from "zod";

const lineSchema = z.object({
    context: z.record(z.string(), z.unknown()).default({}),
    message: z.string(),
    time: z.number(),
});

export interface ExplainedLine {
    /** Wall-clock time in milliseconds. */
    readonly time: number;
    readonly instance: string;
    readonly message: string;
    readonly fields: Readonly<Record<string, unknown>>;
    /** False for a context line: logged by an instance of the request around that time, and about no request. */
    readonly isAboutRequest: boolean;
}

/** Time before and after a request in which context lines are included. */
const contextWindowMs = 1_000;
/** Fields that are printed separately or are not useful in this output. */
const hiddenFields = new Set(["instance", "zone", "logLevel"]);
/** A line with one of these fields is about a request or job. */
const requestFields = ["job", "task"];

/** Parses a log line, with or without a prefix before the JSON; undefined when it is not a log line. */
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

/** The lines of a request and its context lines, ordered by time; empty when no line is about `id`. */
export const explainLogs = (lines: Iterable<string>, id: string): readonly ExplainedLine[] => {
    const parsed = [...lines].flatMap(text => parseLine(text) ?? []);
    const requestLines = parsed.filter(line => isAbout(line, id)).map(line => ({ ...line, isAboutRequest: true }));
    if (requestLines.length === 0) {
        return [];
    }
    const instances = new Set(requestLines.map(line => line.instance));
    const from = Math.min(...requestLines.map(line => line.time)) - contextWindowMs;
    const until = Math.max(...requestLines.map(line => line.time)) + contextWindowMs;
    const contextLines = parsed.filter(line =>
        instances.has(line.instance) && line.time >= from && line.time <= until && !isAboutAnyRequest(line)
    );
    return [...requestLines, ...contextLines].sort((one, other) => one.time - other.time);
};

/** Formats a line for output, with its time relative to `origin`; `~` marks a context line. */
export const formatExplainedLine = (line: ExplainedLine, origin: number): string => {
    const fields = Object.entries(line.fields).map(([name, value]) => `${name}=${String(value)}`).join(" ");
    const mark = line.isAboutRequest ? " " : "~";
    const offset = `${line.time - origin >= 0 ? "+" : ""}${line.time - origin} ms`;
    return `${mark} ${offset.padStart(10)}  ${line.instance}  ${line.message}  ${fields}`;
};
