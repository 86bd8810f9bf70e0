/** Ends responses: charges them while they are unread, and closes the connection after the answer to a refused body. */

import type { Milliseconds } from "@anvilmux/common";
import type { IncomingMessage, ServerResponse } from "node:http";
import { findAttachedSocket } from "./attachedSockets";

/** Requests whose bodies are not read to their end. */
const refused = new WeakSet<IncomingMessage>();
/**
 * Time for which a client can read the answer; closed at once, the connection would be reset under it by its own data.
 */
const lingerMs: Milliseconds = 500;

/** The rest of the request is not read, and its connection is closed after the response. */
export const closeAfterResponse = (request: IncomingMessage): void => {
    refused.add(request);
};

/** An announced body of at most this size is read to its end without a use, so that its connection can be kept. */
const skippedBytes = 65_536;

/** Closes the connection after the response if the body of the request is unread and may be large. */
export const closeUnlessRead = (request: IncomingMessage): void => {
    const announced = request.headers["content-length"];
    if (!request.complete && !(announced !== undefined && Number(announced) <= skippedBytes)) {
        refused.add(request);
    }
};

/** Whether the response is to say `connection: close`. */
export const isClosedAfterResponse = ({ req }: ServerResponse): boolean => refused.has(req);

/**
 * Charges a response until it is complete; false when its connection was closed instead, as the client reads too
 * little.
 */
export const chargeResponse = (response: ServerResponse, bytes: number): boolean =>
    findAttachedSocket(response.req.socket)?.chargeResponse(response, bytes) !== false;

/** Ends a response whose headers, with `content-length`, are written. */
export const endResponse = (response: ServerResponse, body?: string | Buffer): void => {
    const { req: request } = response;
    const bytes = body === undefined ? 0 : Buffer.byteLength(body);
    if (!chargeResponse(response, bytes)) {
        return;
    }
    if (!refused.has(request)) {
        response.end(body);
        return;
    }
    stopReading(request);
    if (bytes === 0) {
        response.flushHeaders();
    }
    else {
        response.write(body);
    }
    setTimeout(() => {
        // Responses before this one on the connection may still be open; the connection closes after them.
        if (response.socket) {
            response.socket.destroy();
        }
        else {
            response.end();
        }
    }, lingerMs).unref();
};

const discard = (): void => undefined;

/**
 * Paused streams take input until their buffers are full, which counts bytes and not chunks. Without its listener the
 * parser gets no more input, and the socket itself stops reading after one piece.
 */
const stopReading = (request: IncomingMessage): void => {
    request.on("data", discard);
    request.socket.removeAllListeners("data");
    request.socket.on("readable", discard);
};
