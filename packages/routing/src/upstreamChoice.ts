/** Policies for choosing an upstream: the default and the baselines that benches compare it with. */

import { pickOne } from "@anvilmux/common";
import type { Random } from "@anvilmux/common";
import type { ChooseUpstream, UpstreamView } from "./types";

/** Chooses the upstream with the smallest share of its slots in use; ties are broken at random. */
export const newLeastInUse = (random: Random): ChooseUpstream => candidates => {
    let best: UpstreamView[] = [];
    let bestShare = Infinity;
    for (const candidate of candidates) {
        const share = candidate.inUse / candidate.slots;
        if (share < bestShare) {
            best = [candidate];
            bestShare = share;
        }
        else if (share === bestShare) {
            best.push(candidate);
        }
    }
    return pickOne(random, best);
};

export const newRandomChoice = (random: Random): ChooseUpstream => candidates => pickOne(random, candidates);

export const newRoundRobin = (): ChooseUpstream => {
    let next = 0;
    return candidates => candidates[next++ % candidates.length];
};
