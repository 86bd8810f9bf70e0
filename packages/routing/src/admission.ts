/** Ways of deciding whether a request is taken: the default and baselines. */

import type { Admit } from "./types";

/** Takes what can probably start in time, given the work ahead of it, and refuses the rest at once. */
export const admitWithinDeadline: Admit = (request, view) => {
    if (view.totalSlots === 0) {
        return "no-upstream";
    }
    const budget = request.deadline - view.now - request.expectedRun;
    if (budget < 0) {
        return "deadline-out-of-reach";
    }
    if (view.freeSlots > view.waiting) {
        return undefined;
    }
    const wait = request.urgent
        ? view.urgentWork / view.totalSlots
        : (view.urgentWork + view.otherWork) / Math.max(1, view.totalSlots - view.urgentSlots);
    return wait > budget ? "deadline-out-of-reach" : undefined;
};

/** Takes everything while there is an upstream. */
export const admitAll: Admit = (_request, view) => view.totalSlots === 0 ? "no-upstream" : undefined;
