/** Small HTTP helpers for the stand-ins. */

import { Agent, createServer, request as openRequest } from "node:http";

/** Resolves with `{ status, body, text }`; rejects without a complete answer within `timeoutMs`. */
export const call = (method, host, port, path, body, { headers = {}, timeoutMs = 1_000, agent, signal } = {}) =>
    new Promise((resolve, reject) => {
        const text = body === undefined ? "" : typeof body === "string" ? body : JSON.stringify(body);
        const request = openRequest({
            method,
            host,
            port,
            path,
            agent: agent ?? new Agent({ keepAlive: false }),
            signal,
            headers: { "content-type": "application/json", "content-length": Buffer.byteLength(text), ...headers },
        }, response => {
            const chunks = [];
            response.on("data", chunk => chunks.push(chunk));
            response.on("error", reject);
            response.on("end", () => {
                clearTimeout(timer);
                const answer = Buffer.concat(chunks).toString();
                resolve({ status: response.statusCode, text: answer, body: parse(answer) });
            });
        });
        const timer = setTimeout(() => request.destroy(new Error(`no answer within ${timeoutMs} ms`)), timeoutMs);
        request.on("error", error => {
            clearTimeout(timer);
            reject(error);
        });
        request.end(text);
    });

const parse = text => {
    try {
        return JSON.parse(text);
    }
    catch {
        return undefined;
    }
};

/** Listens on `host:port`; `handle(request, bodyText, response)` is called with the whole body. */
export const serve = (host, port, handle) =>
    new Promise((resolve, reject) => {
        const server = createServer((request, response) => {
            const chunks = [];
            request.on("data", chunk => chunks.push(chunk));
            request.on("error", () => undefined);
            request.on("end", () => handle(request, Buffer.concat(chunks).toString(), response));
        });
        server.keepAliveTimeout = 60_000;
        server.once("error", reject);
        server.listen(port, host, () => resolve(server));
    });

export const reply = (response, status, body) => {
    const text = JSON.stringify(body);
    response.writeHead(status, { "content-type": "application/json", "content-length": Buffer.byteLength(text) });
    response.end(text);
};
