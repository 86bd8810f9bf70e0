/** The record of one case: what was sent, answered and run, with the milliseconds since the case began. */

import { writeFileSync } from "node:fs";

export class Record {
    #lines = [];
    #startedAt = performance.now();

    constructor(path) {
        this.path = path;
    }

    get now() {
        return performance.now() - this.#startedAt;
    }

    add(kind, fields = {}) {
        const time = this.now;
        const text = Object.entries(fields)
            .map(([name, value]) => `${name}=${typeof value === "string" ? value : JSON.stringify(value)}`)
            .join(" ");
        this.#lines.push(`${time.toFixed(1).padStart(10)} ${kind} ${text}`.trimEnd());
        return time;
    }

    write() {
        writeFileSync(this.path, `${this.#lines.join("\n")}\n`);
    }
}

export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));

/** Waits until `condition` holds; false when it does not within `limitMs`. */
export const waitFor = async (condition, limitMs, periodMs = 20) => {
    const until = performance.now() + limitMs;
    while (performance.now() < until) {
        if (await condition()) {
            return true;
        }
        await sleep(periodMs);
    }
    return false;
};
