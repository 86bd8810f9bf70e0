/** What a worker's word on a task means for the job. */

import type { TaskOutcomeName } from "./types";
import type { WorkerWord } from "./WorkerLink";

/** A task whose worker fell silent may have run, unless it was cancelled on purpose. */
export const getTaskOutcome = (word: WorkerWord, cancelled: boolean): TaskOutcomeName => {
    switch (word.state) {
        case "finished":
            return "answered";
        case "failed":
            return "failed";
        case "refused":
            return "not-run";
        case "lost":
            return cancelled ? "failed" : "unknown";
    }
};
