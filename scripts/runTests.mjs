/**
 * Runs jest with the given arguments. Without a pattern for test names it passes over the tests that KNOWN-RED.txt lists:
 * entries that begin with `npm test -- PATH -t "FULL NAME"`.
 */

import { run } from "jest";
import { readFileSync } from "node:fs";

const entryPattern = /^npm test -- \S+ -t "(.+)"$/gm;

const escape = text => text.replace(/[.*+?^${}()|[\]\\]/g, "\\$&");

const getPassedOver = () => {
    const text = readFileSync(new URL("../KNOWN-RED.txt", import.meta.url), "utf8");
    const names = [...text.matchAll(entryPattern)].map(([, name]) => escape(name));
    return names.length === 0 ? [] : ["--testNamePattern", `^(?!(${names.join("|")})$)`];
};

const given = process.argv.slice(2);
const isNamed = given.some(argument => /^(-t|--testNamePattern)(=|$)/.test(argument));
await run([...isNamed ? [] : getPassedOver(), ...given]);
