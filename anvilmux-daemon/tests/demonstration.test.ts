/** The demonstration that `npm start` runs prints no warnings of Node.js, such as those of leaked listeners. */

import { spawn } from "node:child_process";
import { once } from "node:events";
import { existsSync } from "node:fs";
import { resolve } from "node:path";

/** A demonstration on a busy machine may take long; what it has printed until then counts. */
const longestRunMs = 45_000;

test("the demonstration prints no warning", async () => {
    expect(existsSync(resolve("dist/anvilmux.js"))).toBe(true);
    const child = spawn(process.execPath, [resolve("anvilmux-daemon/bin/anvilmux.js"), "embedded"], {
        stdio: ["ignore", "pipe", "pipe"],
    });
    let output = "";
    let errors = "";
    child.stdout.on("data", chunk => output += chunk);
    child.stderr.on("data", chunk => errors += chunk);
    const timer = setTimeout(() => child.kill(), longestRunMs);
    await once(child, "close");
    clearTimeout(timer);
    expect(output).not.toBe("");
    expect(errors).not.toMatch(/warning/i);
}, 60_000);
