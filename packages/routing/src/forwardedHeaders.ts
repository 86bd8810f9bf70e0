/** Headers that travel between caller and upstream, without those that concern one connection only. */

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

/** The caller's credentials are for this system, not for the upstream. */
const callerOnlyHeaders: ReadonlySet<string> = new Set(["authorization", "traceparent", "tracestate"]);

/** Names listed in a `Connection` header, which concern that connection only. */
const getListedNames = (connection: string | readonly string[] | undefined): ReadonlySet<string> =>
    new Set(String(connection ?? "").split(",").map(name => name.trim().toLowerCase()));

/** Headers of a call that go to the upstream. */
export const toUpstreamHeaders = (headers: IncomingHttpHeaders): Record<string, string | string[]> => {
    const listed = getListedNames(headers.connection);
    const result: Record<string, string | string[]> = {};
    for (const [name, value] of Object.entries(headers)) {
        const stays = connectionHeaders.has(name) || callerOnlyHeaders.has(name) || listed.has(name)
            || name.startsWith("anvilmux-");
        if (value !== undefined && !stays) {
            result[name] = value;
        }
    }
    return result;
};

/** Headers of an answer that go to the caller. */
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
