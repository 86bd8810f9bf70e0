/** Admission policies: the default and a baseline that benches compare it with. */

import { admittedWaitShare, minimumServingSlots } from "./constants";
import type { Admit } from "./types";

/** Admits requests that can probably start in time, given the work ahead of them, and refuses others at once. */
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

/** Admits every request while the service has slots at healthy upstreams. */
export const admitAll: Admit = (_request, view) => view.totalSlots === 0 ? "no-upstream" : undefined;
