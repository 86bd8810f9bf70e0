/** Reading request bodies with a bound on their size and on all bytes held at once. */

import { AnvilmuxError } from "@anvilmux/common";
import { maximumQueuedBytes } from "@anvilmux/routing";
import type { IncomingMessage } from "node:http";

export class BodyError extends AnvilmuxError {}

/** Counts the bytes of all bodies that are held, so that memory stays bounded. */
export class BodyReader {
    private heldBytes = 0;

    /** Reads a body whole. Throws `BodyError` with code `too-large`, `busy` or `cut-off`. */
    async read(request: IncomingMessage, limit: number): Promise<Buffer> {
        const declared = Number(request.headers["content-length"] ?? 0);
        if (declared > limit) {
            throw new BodyError("too-large", `the body exceeds ${limit} bytes`);
        }
        const chunks: Buffer[] = [];
        let bytes = 0;
        try {
            for await (const chunk of request as AsyncIterable<Buffer>) {
                bytes += chunk.length;
                this.heldBytes += chunk.length;
                if (bytes > limit) {
                    throw new BodyError("too-large", `the body exceeds ${limit} bytes`);
                }
                if (this.heldBytes > maximumQueuedBytes) {
                    throw new BodyError("busy", "too many request bytes are held already");
                }
                chunks.push(chunk);
            }
        }
        catch (error) {
            this.heldBytes -= bytes;
            throw error instanceof BodyError ? error : new BodyError("cut-off", "the body ended early", error);
        }
        if (!request.complete) {
            this.heldBytes -= bytes;
            throw new BodyError("cut-off", "the body ended early");
        }
        return Buffer.concat(chunks, bytes);
    }

    /** Notes that a body read before is no longer held. */
    release(body: Buffer): void {
        this.heldBytes -= body.length;
    }
}

/** Parses a JSON body; undefined when it is malformed. */
export const parseJsonBody = (body: Buffer): unknown => {
    try {
        return JSON.parse(body.toString("utf8"));
    }
    catch {
        return undefined;
    }
};
