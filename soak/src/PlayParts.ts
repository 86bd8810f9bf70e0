/** What the callers, workers and the operator of a play share. */

import type { Random } from "@anvilmux/common";
import type { Deployment } from "./Deployment";
import type { PromiseChecker } from "./PromiseChecker";

export interface PlayParts {
    readonly deployment: Deployment;
    readonly checker: PromiseChecker;
    readonly random: Random;
    /** Adds a line to the record of the play. */
    readonly log: (message: string) => void;
}
