/** Ways of deciding whether a request is taken: the default and baselines. */

import { admittedWaitShare, minimumServingSlots } from "./constants";
import type { Admit } from "./types";

/** Takes what can probably start in time, given the work ahead of it, and refuses the rest at once. */
export const admitWithinDeadline: Admit = (request, view) => {
    if (view.totalSlots === 0) {
        return "no-upstream";
    }
    const budget = request.deadline - view.now - request.plannedRun;
    if (budget < 0) {
        return "deadline-out-of-reach";
    }
    if (view.freeSlots > view.waiting) {
        return undefined;
    }
    const slots = Math.max(minimumServingSlots, view.totalSlots - view.overtakingSlots);
    return view.workAhead / slots > budget * admittedWaitShare ? "deadline-out-of-reach" : undefined;
};

/** Takes everything while there is an upstream. */
export const admitAll: Admit = (_request, view) => view.totalSlots === 0 ? "no-upstream" : undefined;
