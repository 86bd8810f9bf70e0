/** What a worker's session needs from its owner. */

import type { Clock, Timers } from "@anvilmux/common";
import type { Logger, Metrics } from "@anvilmux/telemetry";
import type { Run, RunOutcome } from "./RunTable";
import type { WorkerAnnouncement, WorkerDriver } from "./types";

export interface WorkerSessionOptions {
    readonly announcement: WorkerAnnouncement;
    readonly driver: WorkerDriver;
    readonly getFence: () => number;
    readonly clock: Clock;
    readonly timers: Timers;
    readonly logger: Logger;
    readonly metrics: Metrics;
    readonly onEnd: (run: Run, outcome: RunOutcome) => void;
    /** Called for a run that an earlier owner started. */
    readonly onFound: (run: Run) => void;
    /** Called when a run makes no progress any more, again with each list until it is stopped. */
    readonly onStandstill: (run: Run, percent: number) => void;
    /** Called when the worker was listed for the first time, became reachable, or lost runs. */
    readonly onChange: () => void;
    /** Called when the worker obeys a higher fencing token. */
    readonly onFenced: (fence: number) => void;
    /** Called when another worker answers at the address; the session has ended then. */
    readonly onGone: () => void;
}
