/** Outcome of a task, derived from the worker's reply. */

import type { TaskOutcomeName } from "./types";
import type { WorkerReply } from "./WorkerLink";

/** A lost task may have run, so its outcome is unknown; one that was cancelled counts as failed. */
export const getTaskOutcome = (reply: WorkerReply, cancelled: boolean): TaskOutcomeName => {
    switch (reply.state) {
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
