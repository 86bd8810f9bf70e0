/**
 * Reads the body of a request into one buffer of its own. The chunks that a client sends are copied and not kept, so a
 * body occupies the same memory however it is cut.
 */

import { AnvilmuxError } from "@anvilmux/common";
import type { IncomingMessage } from "node:http";
import { findAttachedSocket } from "./attachedSockets";
import type { BodyHost, OpenBody } from "./BodyHost";
import { bodyCopies } from "./limits";
import type { MemoryRefusal } from "./MemoryBudget";
import type { RefusalCause } from "./Refusals";

/** Code `too-large`, `busy` (the memory for clients is used up) or `cut-off` (the client closed the connection). */
export class BodyError extends AnvilmuxError {}

/** A body of this announced size gets its buffer at once; the buffer of a larger one grows with what arrives. */
const trustedBytes = 16_384;
const firstBytes = 4_096;
/** Chunks after which their average size is looked at. */
const countedChunks = 256;
/** A body is fragmented when it has this many chunks and they have fewer bytes than this on average. */
const fragmentedChunks = 4_096;
const fragmentBytes = 16;

/**
 * Reads the body of a request to a guarded server. Rejects with a `BodyError`; when the body was refused, the
 * connection is closed after the response.
 */
export const readBody = (request: IncomingMessage, maximumBytes: number): Promise<Buffer> => {
    const host = findAttachedSocket(request.socket)?.newBodyHost(request);
    return host
        ? readBodyInto(request, maximumBytes, host)
        : Promise.reject(new BodyError("cut-off", "the connection is closed or not guarded"));
};

/** Rejects with a `BodyError`. The memory stays charged until the response has ended. */
export const readBodyInto = (request: IncomingMessage, maximumBytes: number, host: BodyHost): Promise<Buffer> => {
    const announced = Number(request.headers["content-length"] ?? 0);
    if (announced > maximumBytes) {
        host.refuse("too-large");
        return Promise.reject(newTooLargeError(maximumBytes));
    }
    return new Promise((resolve, reject) => new BodyReading(request, maximumBytes, announced, host, resolve, reject));
};

const newTooLargeError = (maximumBytes: number): BodyError =>
    new BodyError("too-large", `the body exceeds ${maximumBytes} bytes`);

const newBusyError = (): BodyError => new BodyError("busy", "the memory for requests is used up");

/** Takes the rest of the present piece of input, which the stream would keep otherwise. */
const discard = (): void => undefined;

class BodyReading implements OpenBody {
    private buffer = Buffer.alloc(0);
    private length = 0;
    private chunks = 0;
    private isEnded = false;
    private readonly end: () => void;

    constructor(
        private readonly request: IncomingMessage,
        private readonly maximumBytes: number,
        private readonly announcedBytes: number,
        private readonly host: BodyHost,
        private readonly resolve: (body: Buffer) => void,
        private readonly reject: (error: BodyError) => void,
    ) {
        this.end = host.begin(this);
        request.on("data", this.handleData);
        request.on("end", this.handleEnd);
        request.on("error", this.handleClose);
        request.on("close", this.handleClose);
    }

    get heldBytes(): number {
        return this.buffer.length * bodyCopies;
    }

    stop(cause: MemoryRefusal): void {
        this.refuse(cause, newBusyError());
    }

    private readonly handleData = (chunk: Buffer): void => {
        const needed = this.length + chunk.length;
        if (needed > this.maximumBytes) {
            this.refuse("too-large", newTooLargeError(this.maximumBytes));
            return;
        }
        if (needed > this.buffer.length && !this.grow(needed)) {
            return;
        }
        chunk.copy(this.buffer, this.length);
        this.length = needed;
        this.chunks += 1;
        if (this.chunks % countedChunks === 0 && needed < this.chunks * fragmentBytes) {
            this.host.countFragments(countedChunks);
            if (this.chunks === fragmentedChunks && !this.host.admitFragmented()) {
                this.refuse("fragmented", newBusyError());
            }
        }
    };

    private readonly handleEnd = (): void => {
        if (this.finish()) {
            this.resolve(this.buffer.subarray(0, this.length));
        }
    };

    private readonly handleClose = (): void => {
        if (this.finish()) {
            this.reject(new BodyError("cut-off", "the client closed the connection before the request body ended"));
        }
    };

    /** False when the body is refused. */
    private grow(needed: number): boolean {
        const least = this.announcedBytes === 0 || this.announcedBytes > trustedBytes
            ? firstBytes
            : this.announcedBytes;
        const wanted = Math.max(needed, least, this.buffer.length * 2);
        const capacity = Math.min(this.announcedBytes || this.maximumBytes, wanted);
        const bytes = (capacity - this.buffer.length) * bodyCopies;
        const refusal = this.host.charge(bytes);
        // The charge may have stopped slower bodies to make room, and this one if it is the slowest.
        if (this.isEnded) {
            this.host.release(refusal === undefined ? bytes : 0);
            return false;
        }
        if (refusal !== undefined) {
            this.refuse(refusal, newBusyError());
            return false;
        }
        const buffer = Buffer.allocUnsafe(capacity);
        this.buffer.copy(buffer, 0, 0, this.length);
        this.buffer = buffer;
        return true;
    }

    private refuse(cause: RefusalCause, error: BodyError): void {
        if (this.finish()) {
            this.host.release(this.heldBytes);
            this.buffer = Buffer.alloc(0);
            this.request.on("data", discard);
            this.host.refuse(cause);
            this.reject(error);
        }
    }

    /** False when the reading has ended before. */
    private finish(): boolean {
        if (this.isEnded) {
            return false;
        }
        this.isEnded = true;
        this.request.off("data", this.handleData);
        this.request.off("end", this.handleEnd);
        this.request.off("close", this.handleClose);
        this.end();
        return true;
    }
}
