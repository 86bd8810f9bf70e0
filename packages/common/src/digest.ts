/** Content digests. */

import { createHash } from "node:crypto";

/** Lower-case hexadecimal SHA-256 of text or bytes. */
export const getSha256 = (content: string | Uint8Array): string => createHash("sha256").update(content).digest("hex");
