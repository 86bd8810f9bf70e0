/**
 * Decides whether an owner extends a worker's lease. The lease covers all runs on the worker, so an extension also keeps
 * those alive that nobody waits for. Callers of such runs submit their jobs again, to zones that do not know of the runs.
 * Without an extension these are over by then, even if the orders to stop them are late or lost.
 */

import type { Clock, Milliseconds } from "@anvilmux/common";
import type { Logger, Metrics } from "@anvilmux/telemetry";
import { busyWatchWaitMs, idleWatchWaitMs, maximumLoggedRuns, withheldLeaseWaitMs, workerLeaseMs } from "./constants";
import type { Run, RunTable } from "./RunTable";
import type { TaskName, WatchOrder, WorkerId } from "./types";
import type { WorkerTime } from "./WorkerTime";

export interface LeaseExtensionOptions {
    readonly worker: WorkerId;
    readonly runs: RunTable;
    readonly time: WorkerTime;
    /** True while the entry that submitted the task's job waits for it here. */
    readonly isAwaited: (task: TaskName) => boolean;
    readonly clock: Clock;
    readonly logger: Logger;
    readonly metrics: Metrics;
}

export class LeaseExtension {
    private isWithheld = false;

    constructor(private readonly options: LeaseExtensionOptions) {}

    /**
     * Lease and wait of the watch that is sent now. `isListed`: the worker answers, and its runs are known. The lease of
     * a worker that does not answer is not extended either, so that it expires at a known time.
     */
    planWatch(isListed: boolean): Pick<WatchOrder, "leaseUntil" | "waitMs"> {
        const { runs, time, clock, metrics } = this.options;
        if (!isListed || !time.isKnown) {
            return { leaseUntil: undefined, waitMs: 0 };
        }
        if (!this.mayExtend()) {
            metrics.count("anvilmux_withheld_leases_total");
            return { leaseUntil: undefined, waitMs: withheldLeaseWaitMs };
        }
        time.recordGrant(clock.now(), workerLeaseMs);
        return { leaseUntil: time.now() + workerLeaseMs, waitMs: getLongestWait(runs) };
    }

    private mayExtend(): boolean {
        const { runs, isAwaited } = this.options;
        const unwanted = runs.getAll().filter(run => mayGoOnUnwanted(run, isAwaited));
        this.setWithheld(unwanted);
        return unwanted.length === 0;
    }

    private setWithheld(unwanted: readonly Run[]): void {
        const isWithheld = unwanted.length > 0;
        if (isWithheld && !this.isWithheld) {
            const { worker, runs, logger } = this.options;
            logger.info("lease not extended, as nobody waits for some runs", {
                worker,
                runs: runs.size,
                unwanted: unwanted.length,
                tasks: unwanted.slice(0, maximumLoggedRuns).map(({ task, run }) => `${task} ${run}`).join(", "),
            });
        }
        this.isWithheld = isWithheld;
    }
}

const getLongestWait = ({ size }: RunTable): Milliseconds => size > 0 ? busyWatchWaitMs : idleWatchWaitMs;

/** True for a run that nobody waits for, unless the worker has accepted its stop, which ends it soon. */
const mayGoOnUnwanted = (run: Run, isAwaited: (task: TaskName) => boolean): boolean =>
    run.stopAcceptedAt === undefined && (run.stopOrderedAt !== undefined || !isAwaited(run.task));
