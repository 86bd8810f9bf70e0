/** Unique identifiers. */

import { randomBytes } from "node:crypto";

/** 16 hexadecimal characters of operating system randomness. */
export const newUniqueText = (): string => randomBytes(8).toString("hex");

const processPrefix = newUniqueText();
let nextSequence = 0;

/** A text that no other call in this or any other process gives; cheap, but guessable. */
export const newSequentialId = (): string => `${processPrefix}-${(nextSequence++).toString(36)}`;
