/** Reading request bodies with a bound on their size and on all bytes held at once. */

import { AnvilmuxError, safeParseJson } from "@anvilmux/common";
import { maximumQueuedBytes } from "@anvilmux/routing";
import type { IncomingMessage } from "node:http";

export class BodyError extends AnvilmuxError {}

/** Counts the bytes of all bodies that are held, so that memory stays bounded. */
export class BodyReader {
    private heldBytes = 0;

    /** Reads a body whole. Rejects with `BodyError` with code `too-large`, `busy` or `cut-off`. */
    read(request: IncomingMessage, limit: number): Promise<Buffer> {
        return new Promise((resolve, reject) => {
            const chunks: Buffer[] = [];
            let bytes = 0;
            const fail = (code: string, message: string) => {
                this.heldBytes -= bytes;
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
                this.heldBytes += chunk.length;
                chunks.push(chunk);
                if (bytes > limit) {
                    fail("too-large", `the body exceeds ${limit} bytes`);
                }
                else if (this.heldBytes > maximumQueuedBytes) {
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

    /** Notes that a body read before is no longer held. */
    release(body: Buffer): void {
        this.heldBytes -= body.length;
    }
}

/** Parses a JSON body; undefined when it is malformed. */
export const parseJsonBody = (body: Buffer): unknown => safeParseJson(body.toString("utf8"));
