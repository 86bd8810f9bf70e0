/** Selects the headers forwarded between caller and upstream; connection-specific headers are removed. */

import type { IncomingHttpHeaders } from "node:http";
import type { AnswerHeaders } from "./upstreamExchange";

const connectionHeaders: ReadonlySet<string> = new Set([
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
    "host",
    "content-length",
]);

/** Not forwarded: the credentials are for this system, and the trace context is replaced by that of the dispatch. */
const callerOnlyHeaders: ReadonlySet<string> = new Set(["authorization", "traceparent", "tracestate"]);

/** Names listed in a `Connection` header; those headers are specific to that connection. */
const getListedNames = (connection: string | readonly string[] | undefined): ReadonlySet<string> =>
    new Set(String(connection ?? "").split(",").map(name => name.trim().toLowerCase()));

/** Headers of a call that are forwarded to the upstream. */
export const toUpstreamHeaders = (headers: IncomingHttpHeaders): Record<string, string | string[]> => {
    const listed = getListedNames(headers.connection);
    const result: Record<string, string | string[]> = {};
    for (const [name, value] of Object.entries(headers)) {
        const isExcluded = connectionHeaders.has(name) || callerOnlyHeaders.has(name) || listed.has(name)
            || name.startsWith("anvilmux-");
        if (value !== undefined && !isExcluded) {
            result[name] = value;
        }
    }
    return result;
};

/** Headers of an answer that are forwarded to the caller. */
export const toCallerHeaders = (headers: AnswerHeaders): Record<string, string | string[]> => {
    const listed = getListedNames(headers["connection"]);
    const result: Record<string, string | string[]> = {};
    for (const [name, value] of Object.entries(headers)) {
        if (value !== undefined && !connectionHeaders.has(name) && !listed.has(name) && !name.startsWith("anvilmux-")) {
            result[name] = typeof value === "string" ? value : [...value];
        }
    }
    return result;
};
