/** Unique identifiers. */

import { randomBytes } from "node:crypto";

/** 16 hexadecimal characters from the operating system's random number generator. */
export const newRandomId = (): string => randomBytes(8).toString("hex");

const processPrefix = newRandomId();
let nextSequence = 0;

/** An id that is unique across processes; cheap, but predictable. */
export const newSequentialId = (): string => `${processPrefix}-${(nextSequence++).toString(36)}`;
