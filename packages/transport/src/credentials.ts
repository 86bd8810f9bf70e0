/** Shared secrets that authenticate instances to each other; two are valid while a secret is rotated. */

import { createHash, timingSafeEqual } from "node:crypto";

/** Secrets accepted from peers; the first is sent in requests. */
export type PeerSecrets = readonly string[];

export const peerSecretHeader = "x-anvilmux-peer";

const digest = (text: string): Buffer => createHash("sha256").update(text).digest();

/** True when `presented` equals one of `accepted`; compares in constant time, so that timing reveals no secret. */
export const isKnownSecret = (presented: string | undefined, accepted: readonly string[]): boolean => {
    const presentedDigest = digest(presented ?? "");
    let isKnown = false;
    for (const secret of accepted) {
        isKnown = timingSafeEqual(presentedDigest, digest(secret)) || isKnown;
    }
    return isKnown && presented !== undefined && presented !== "";
};
