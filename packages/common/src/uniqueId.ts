/** Unguessable identifiers. */

import { randomBytes } from "node:crypto";

/** 16 hexadecimal characters of operating system randomness. */
export const newUniqueText = (): string => randomBytes(8).toString("hex");
