// The record of a script: what was sent, answered and run, with the time since the script began.
import { createWriteStream } from "node:fs";

const begun = performance.now();

/** Milliseconds since the script began. */
export const now = () => performance.now() - begun;

export class Record {
    constructor(path) {
        this.stream = createWriteStream(path);
    }

    add(text) {
        this.stream.write(`${now().toFixed(0).padStart(8)} ms  ${text}\n`);
    }

    close() {
        return new Promise(resolve => this.stream.end(resolve));
    }
}

export const pause = duration => new Promise(resolve => setTimeout(resolve, duration));

/** Polls a condition; false when it does not hold within `limitMs`. */
export const waitUntil = async (condition, limitMs, periodMs = 50) => {
    const deadline = now() + limitMs;
    while (!await condition()) {
        if (now() > deadline) {
            return false;
        }
        await pause(periodMs);
    }
    return true;
};
