/** Rendezvous hashing: each key maps to the member with the highest hash, so removing a member remaps only its keys. */

import xxhash from "xxhash-wasm";

const hasher = await xxhash();

/** A 32-bit hash of `text`. */
export const hashText = (text: string): number => hasher.h32(text);

/** The member responsible for `key`; undefined when there are no members. */
export const pickByRendezvous = <Member extends string>(
    key: string,
    members: readonly Member[],
): Member | undefined => {
    let best: Member | undefined;
    let bestScore = -1;
    for (const member of members) {
        const score = hashText(`${key}\u0000${member}`);
        if (score > bestScore || (score === bestScore && best !== undefined && member < best)) {
            best = member;
            bestScore = score;
        }
    }
    return best;
};
