/**
 * Prints the arguments with which jest passes over the tests listed in KNOWN-RED.txt, one to a line; nothing when none
 * is listed. An entry for a test begins with `npm test -- PATH -t "FULL NAME"`.
 */

import { readFileSync } from "node:fs";

const entryPattern = /^npm test -- \S+ -t "(.+)"$/gm;

const escape = text => text.replace(/[.*+?^${}()|[\]\\]/g, "\\$&");

const lines = readFileSync(new URL("../KNOWN-RED.txt", import.meta.url), "utf8");
const names = [...lines.matchAll(entryPattern)].map(([, name]) => escape(name));
if (names.length > 0) {
    console.log(`--testNamePattern\n^(?!(${names.join("|")})$)`);
}
