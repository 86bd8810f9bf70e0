/** The secret that instances prove to each other, compared in constant time; two may be valid during a rotation. */

import { createHash, timingSafeEqual } from "node:crypto";

/** Secrets accepted from peers; the first is the one sent. */
export type PeerSecrets = readonly string[];

export const peerSecretHeader = "x-anvilmux-peer";

const digest = (text: string): Buffer => createHash("sha256").update(text).digest();

/** True when `presented` equals one of `accepted`; takes the same time whichever it is. */
export const isKnownSecret = (presented: string | undefined, accepted: readonly string[]): boolean => {
    const presentedDigest = digest(presented ?? "");
    let known = false;
    for (const secret of accepted) {
        known = timingSafeEqual(presentedDigest, digest(secret)) || known;
    }
    return known && presented !== undefined && presented !== "";
};
