// One HTTP call on a connection of its own.
import { request as openRequest } from "node:http";

const parse = text => {
    try {
        return JSON.parse(text);
    }
    catch {
        return undefined;
    }
};

/**
 * Resolves with `{ status, body }`; with `{ status: undefined }` when the connection broke (`end: "broken"`) or when no complete
 * response came in time (`end: "timeout"`), in which case the connection is closed. `onOpen` gets a function that closes it.
 */
export const call = ({ method, address, path, headers = {}, body, timeoutMs, onOpen }) =>
    new Promise(resolve => {
        const [host, port] = address.split(":");
        const text = body === undefined ? "" : JSON.stringify(body);
        let end = "broken";
        const request = openRequest({
            host,
            port,
            method,
            path,
            agent: false,
            headers: { "content-type": "application/json", "content-length": Buffer.byteLength(text), ...headers },
        });
        const timer = setTimeout(() => {
            end = "timeout";
            request.destroy(new Error("no response in time"));
        }, timeoutMs);
        const settle = answer => {
            clearTimeout(timer);
            resolve(answer);
        };
        request.on("error", () => settle({ status: undefined, end }));
        request.on("response", response => {
            const chunks = [];
            response.on("data", chunk => chunks.push(chunk));
            response.on("error", () => settle({ status: undefined, end }));
            response.on("end", () =>
                settle({ status: response.statusCode, body: parse(Buffer.concat(chunks).toString()) }));
        });
        onOpen?.(() =>
            request.destroy(new Error("closed by the caller"))
        );
        request.end(text);
    });
