/**
 * Writes log lines without blocking the event loop. Lines are buffered in memory up to a bound; further lines are
 * dropped and counted, and the count is written once the reader has caught up.
 */

import { getErrorMessage } from "@anvilmux/common";
import type { Timers, Unsubscribe } from "@anvilmux/common";
import { write, writeSync } from "node:fs";

/** Writes the whole text; rejects when nothing reads the output any more. */
export type WriteText = (text: string) => Promise<void>;

/** Length of the text that may be buffered for a slow reader, in UTF-16 code units. */
const maximumBufferedCharacters = 1_048_576;
/** The count of dropped lines is written once less text than this is buffered. */
const dropReportThreshold = maximumBufferedCharacters / 2;
/**
 * Largest write, except for a single longer line. A pipe accepts writes up to this size atomically, so that a reader
 * never sees a partial line.
 */
const maximumWriteBytes = 4_096;
/** Delay before a flush, in which lines are batched into one write. */
const flushDelayMs = 25;
const retryAfterBusyMs = 20;

export class LineWriter {
    private lines: string[] = [];
    private bufferedCharacters = 0;
    private dropped = 0;
    private writing = false;
    private cancelFlush: Unsubscribe | undefined;

    constructor(private readonly writeText: WriteText, private readonly timers: Timers) {}

    /** Lines dropped so far and not yet reported. */
    get droppedLines(): number {
        return this.dropped;
    }

    write(line: string): void {
        if (this.bufferedCharacters + line.length > maximumBufferedCharacters) {
            this.dropped += 1;
            return;
        }
        this.lines.push(line);
        this.bufferedCharacters += line.length + 1;
        if (!this.writing) {
            this.cancelFlush ??= this.timers.after(flushDelayMs, () => void this.flush());
        }
    }

    /** Removes and returns the oldest lines that fit into one write, at least one; empty when none is buffered. */
    takeBatch(): string {
        let bytes = 0;
        const count = this.lines.findIndex(line => {
            bytes += Buffer.byteLength(line) + 1;
            return bytes > maximumWriteBytes;
        });
        const taken = this.lines.splice(0, count < 0 ? this.lines.length : Math.max(1, count));
        const text = taken.map(line => line + "\n").join("");
        this.bufferedCharacters -= text.length;
        return text;
    }

    private async flush(): Promise<void> {
        this.cancelFlush = undefined;
        this.writing = true;
        while (this.lines.length > 0 || this.dropped > 0) {
            const dropped = this.bufferedCharacters < dropReportThreshold ? this.dropped : 0;
            const text = dropped > 0 ? toDropLine(dropped) : this.takeBatch();
            try {
                await this.writeText(text);
                this.dropped -= dropped;
            }
            catch {
                // The output is closed, so the failure cannot be logged either.
                break;
            }
        }
        this.writing = false;
    }
}

const toDropLine = (dropped: number): string =>
    JSON.stringify({ message: "log lines dropped", context: { dropped, reason: "the reader is too slow" } }) + "\n";

/** Writes to standard output asynchronously, on the runtime's thread pool; retries while the pipe is full. */
export const newStandardOutputWrite = (timers: Timers): WriteText => async text => {
    let rest = Buffer.from(text);
    while (rest.length > 0) {
        const written = await writeOnce(rest);
        if (written === undefined) {
            await new Promise<void>(resolve => timers.after(retryAfterBusyMs, resolve));
        }
        else {
            rest = rest.subarray(written);
        }
    }
};

const standardOutputDescriptor = 1;

/** The number of bytes written; undefined when the pipe is full. */
const writeOnce = (bytes: Buffer): Promise<number | undefined> =>
    new Promise((resolve, reject) => {
        write(standardOutputDescriptor, bytes, (error, written) => {
            if (error?.code === "EAGAIN") {
                resolve(undefined);
            }
            else if (error) {
                reject(error);
            }
            else {
                resolve(written);
            }
        });
    });

/** Writes log lines to standard output without blocking; lines still buffered are written when the process exits. */
export const newStandardOutputWriter = (timers: Timers): LineWriter => {
    const writer = new LineWriter(newStandardOutputWrite(timers), timers);
    process.on("exit", () => {
        try {
            for (let text = writer.takeBatch(); text !== ""; text = writer.takeBatch()) {
                writeSync(standardOutputDescriptor, text);
            }
        }
        catch (error) {
            process.stderr.write(`buffered log lines not written at exit: ${getErrorMessage(error)}\n`);
        }
    });
    return writer;
};
