/** What a refused start means for its run and its worker, by the reason that the worker gave. */

import type { Milliseconds } from "@anvilmux/common";
import { firstRetryPauseMs, longestRetryPauseMs } from "./constants";
import type { RunOutcome } from "./RunTable";
import type { StartRefusal } from "./types";

export const getRefusalOutcome = (reason: StartRefusal): RunOutcome => {
    switch (reason) {
        case "old":
            return "refused-old";
        case "invalid":
            return "invalid";
        default:
            return "refused";
    }
};

/** Time for which the worker gets no tasks; 0 where the reason lies in the order. */
export const getRefusalPause = (reason: StartRefusal): Milliseconds => {
    switch (reason) {
        case "fence":
        case "room":
            return firstRetryPauseMs;
        case "unhealthy":
            return longestRetryPauseMs;
        default:
            return 0;
    }
};
