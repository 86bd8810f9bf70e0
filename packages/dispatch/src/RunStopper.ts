/**
 * Stops runs on one worker. A stop is repeated until the run has ended. A worker that accepted one refuses a start of that
 * run that arrives later, so a stop also settles a start without an answer.
 */

import { stopRepeatMs } from "./constants";
import type { Run, RunTable } from "./RunTable";
import type { WorkerSessionOptions } from "./workerSessionOptions";

export interface RunStopperOptions
    extends Pick<WorkerSessionOptions, "clock" | "driver" | "getFencingToken" | "metrics"> {
    readonly runs: RunTable;
    /** Incarnation of the worker in its latest list. */
    readonly getIncarnation: () => number;
    /** Called when the worker accepted the stop of a run whose start had no answer. */
    readonly onUncertainStopped: () => void;
}

export class RunStopper {
    constructor(private readonly options: RunStopperOptions) {}

    /** Orders a stop unless one is under way. */
    stop(run: Run): void {
        if (run.stopOrderedAt === undefined) {
            void this.order(run);
        }
    }

    /**
     * Stops starts without an answer that were ordered from another incarnation: their deadline, on its clock, does not
     * keep the present one from carrying them out.
     */
    stopUncertainOfOtherIncarnations(): void {
        this.options.runs.getUncertainOfOtherIncarnations(this.options.getIncarnation()).forEach(run => this.stop(run));
    }

    /** Orders the stops again that were not carried out. */
    repeat(): void {
        const now = this.options.clock.now();
        for (const run of this.options.runs.getAll()) {
            if (run.stopOrderedAt !== undefined && now - run.stopOrderedAt > stopRepeatMs) {
                void this.order(run);
            }
        }
    }

    private async order(run: Run): Promise<void> {
        const { clock, driver, getFencingToken, getIncarnation, metrics } = this.options;
        run.stopOrderedAt = clock.now();
        metrics.count("anvilmux_stop_orders_total");
        const incarnation = getIncarnation();
        const isAccepted = await driver.stop(run.task, run.run, getFencingToken());
        if (!isAccepted || incarnation !== getIncarnation()) {
            return;
        }
        run.stopAcceptedAt ??= clock.now();
        if (run.state === "uncertain") {
            this.options.onUncertainStopped();
        }
    }
}
