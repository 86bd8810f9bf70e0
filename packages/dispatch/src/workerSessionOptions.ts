/** Dependencies and callbacks of a worker's session. */

import type { Clock, Timers } from "@anvilmux/common";
import type { Logger, Metrics } from "@anvilmux/telemetry";
import type { Run, RunEnd } from "./RunTable";
import type { TaskName, WorkerAnnouncement, WorkerDriver, WorkerId } from "./types";

export interface WorkerSessionOptions {
    readonly announcement: WorkerAnnouncement;
    readonly driver: WorkerDriver;
    /** False while the owner gives the worker no tasks, for reasons other than the worker's state. */
    readonly mayGetTasks?: (id: WorkerId) => boolean;
    /** True while the entry that submitted the task's job waits for it here; the lease is not extended for other runs. */
    readonly isAwaited: (task: TaskName) => boolean;
    readonly getFencingToken: () => number;
    readonly clock: Clock;
    readonly timers: Timers;
    readonly logger: Logger;
    readonly metrics: Metrics;
    readonly onEnd: (run: Run, end: RunEnd) => void;
    /** Called before the runs of a worker whose process ended without notice are reported as ended. */
    readonly onCrash: (runs: readonly Run[]) => void;
    /** Called for a listed run that this owner did not start. */
    readonly onFound: (run: Run) => void;
    /** Called with each list that shows a run as stalled, until its stop is ordered. */
    readonly onStandstill: (run: Run, percent: number) => void;
    /** Called when the worker listed its runs for the first time, became reachable, or became unreachable. */
    readonly onChange: () => void;
    /** Called when the worker's service or its free resources may have changed. */
    readonly onFreeChange: () => void;
    /** Called when the worker refused `fencingToken` because it had accepted a higher one. */
    readonly onFenced: (fencingToken: number) => void;
    /** Called after the session ended: another worker answers at the address, or the worker left and has no runs. */
    readonly onRemoved: () => void;
}
