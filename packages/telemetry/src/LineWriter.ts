/**
 * Writes log lines without ever blocking: lines wait in memory up to a bound, further ones are left out and counted,
 * and the count is written once the reader has caught up.
 */

import { getErrorMessage } from "@anvilmux/common";
import type { Timers, Unsubscribe } from "@anvilmux/common";
import { write, writeSync } from "node:fs";

/** Writes all of a text; rejects when the reader is gone. */
export type WriteText = (text: string) => Promise<void>;

/** Bytes that may wait for a slow reader. */
const maximumWaitingBytes = 1_048_576;
/** The count of lines left out is written once less than this waits. */
const caughtUpBytes = maximumWaitingBytes / 2;
/** Largest write: a pipe takes this much whole, so that a reader never sees a part of a line. */
const maximumWriteBytes = 4_096;
/** Time for which lines are gathered into one write. */
const gatherMs = 25;
const retryAfterBusyMs = 20;

export class LineWriter {
    private lines: string[] = [];
    private waitingBytes = 0;
    private dropped = 0;
    private writing = false;
    private cancelFlush: Unsubscribe | undefined;

    constructor(private readonly writeText: WriteText, private readonly timers: Timers) {}

    /** Lines left out so far and not yet reported. */
    get droppedLines(): number {
        return this.dropped;
    }

    write(line: string): void {
        if (this.waitingBytes + line.length > maximumWaitingBytes) {
            this.dropped += 1;
            return;
        }
        this.lines.push(line);
        this.waitingBytes += line.length + 1;
        if (!this.writing) {
            this.cancelFlush ??= this.timers.after(gatherMs, () => void this.flush());
        }
    }

    /** Takes out the oldest lines that fit into one write, at least one; empty when none waits. */
    takeWaiting(): string {
        let bytes = 0;
        const count = this.lines.findIndex(line => {
            bytes += Buffer.byteLength(line) + 1;
            return bytes > maximumWriteBytes;
        });
        const taken = this.lines.splice(0, count < 0 ? this.lines.length : Math.max(1, count));
        const text = taken.map(line => line + "\n").join("");
        this.waitingBytes -= text.length;
        return text;
    }

    private async flush(): Promise<void> {
        this.cancelFlush = undefined;
        this.writing = true;
        while (this.lines.length > 0 || this.dropped > 0) {
            const dropped = this.waitingBytes < caughtUpBytes ? this.dropped : 0;
            const text = dropped > 0 ? toDropLine(dropped) : this.takeWaiting();
            try {
                await this.writeText(text);
                this.dropped -= dropped;
            }
            catch {
                // Nobody reads any more; there is nowhere to say so.
                break;
            }
        }
        this.writing = false;
    }
}

const toDropLine = (dropped: number): string =>
    JSON.stringify({ message: "log lines left out", context: { dropped, reason: "the reader is too slow" } }) + "\n";

/** Writes to standard output on a thread of the runtime's pool. */
export const newStandardOutput = (timers: Timers): WriteText => async text => {
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

const standardOutput = 1;

/** Bytes written; undefined when the reader is busy. */
const writeOnce = (bytes: Buffer): Promise<number | undefined> =>
    new Promise((resolve, reject) => {
        write(standardOutput, bytes, (error, written) => {
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

/** Sends log lines to standard output without blocking; what waits at the exit of the process is written then. */
export const newStandardOutputWriter = (timers: Timers): LineWriter => {
    const writer = new LineWriter(newStandardOutput(timers), timers);
    process.on("exit", () => {
        try {
            for (let text = writer.takeWaiting(); text !== ""; text = writer.takeWaiting()) {
                writeSync(standardOutput, text);
            }
        }
        catch (error) {
            process.stderr.write(`last log lines not written: ${getErrorMessage(error)}\n`);
        }
    });
    return writer;
};
