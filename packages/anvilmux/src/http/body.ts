/** Reads request bodies with limits on the size of each and on the total size buffered at once. */

import { AnvilmuxError, safeParseJson } from "@anvilmux/common";
import { maximumQueuedBytes } from "@anvilmux/routing";
import type { IncomingMessage } from "node:http";

export class BodyError extends AnvilmuxError {}

/** Reads bodies and counts the bytes that they occupy until they are released, so that memory stays bounded. */
export class BodyReader {
    private bufferedBytes = 0;

    /** Reads a whole body. Rejects with a `BodyError` whose code is `too-large`, `busy` or `cut-off`. */
    read(request: IncomingMessage, limit: number): Promise<Buffer> {
        return new Promise((resolve, reject) => {
            const chunks: Buffer[] = [];
            let bytes = 0;
            const fail = (code: string, message: string) => {
                this.bufferedBytes -= bytes;
                bytes = 0;
                request.removeAllListeners("data");
                request.removeAllListeners("end");
                request.resume();
                reject(new BodyError(code, message));
            };
            if (Number(request.headers["content-length"] ?? 0) > limit) {
                fail("too-large", `the body exceeds ${limit} bytes`);
                return;
            }
            request.on("data", (chunk: Buffer) => {
                bytes += chunk.length;
                this.bufferedBytes += chunk.length;
                chunks.push(chunk);
                if (bytes > limit) {
                    fail("too-large", `the body exceeds ${limit} bytes`);
                }
                else if (this.bufferedBytes > maximumQueuedBytes) {
                    fail("busy", "too many request bytes are held already");
                }
            });
            request.on("end", () => resolve(chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks, bytes)));
            request.on("error", () => fail("cut-off", "the body ended early"));
            request.on("close", () => {
                if (!request.complete) {
                    fail("cut-off", "the body ended early");
                }
            });
        });
    }

    /** Marks a body that `read` returned as no longer in memory. */
    release(body: Buffer): void {
        this.bufferedBytes -= body.length;
    }
}

/** Parses a JSON body; undefined when it is malformed. */
export const parseJsonBody = (body: Buffer): unknown => safeParseJson(body.toString("utf8"));
