/**
 * Stops runs on one worker. A stop is repeated until the run has ended. A worker that accepted one refuses a start of that
 * run that arrives later, so a stop also settles a start without an answer, and withdraws one that was given up.
 */

import type { Milliseconds } from "@anvilmux/common";
import { longestOrderDelayMs, stopRepeatMs } from "./constants";
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

/** A start without an answer that counts as never carried out. */
interface GivenUpStart {
    readonly run: Run;
    readonly until: Milliseconds;
    orderedAt: Milliseconds;
    /** Incarnation that accepted its stop; each one has to. */
    acceptedIn: number | undefined;
}

export class RunStopper {
    private givenUp: readonly GivenUpStart[] = [];
    private readonly unanswered = new Set<Run>();

    constructor(private readonly options: RunStopperOptions) {}

    /** True while a run goes on whose stop was ordered and not accepted. A start would extend the lease for it. */
    get hasUnansweredStops(): boolean {
        return this.unanswered.size > 0;
    }

    /** A run has ended. */
    handleEnd(run: Run): void {
        this.unanswered.delete(run);
    }

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

    /** Withdraws a start that was given up: should it be carried out late after all, the worker refuses it. */
    withdraw(run: Run): void {
        const until = this.options.clock.now() + longestOrderDelayMs;
        const start: GivenUpStart = { run, until, orderedAt: 0, acceptedIn: undefined };
        this.givenUp = [...this.givenUp, start];
        void this.orderWithdrawal(start);
    }

    /** Orders the stops again that were not carried out; to be called when the worker has answered. */
    repeat(): void {
        const now = this.options.clock.now();
        if (this.givenUp.length > 0) {
            this.givenUp = this.givenUp.filter(({ until }) => now < until);
            this.givenUp
                .filter(start => start.acceptedIn !== this.options.getIncarnation())
                .filter(({ orderedAt }) => now - orderedAt > stopRepeatMs)
                .forEach(start => void this.orderWithdrawal(start));
        }
        for (const run of this.options.runs.getAll()) {
            if (run.stopOrderedAt !== undefined && now - run.stopOrderedAt > stopRepeatMs) {
                void this.order(run);
            }
        }
    }

    private async order(run: Run): Promise<void> {
        run.stopOrderedAt = this.options.clock.now();
        if (await this.callStop(run) === undefined) {
            this.recordUnanswered(run);
            return;
        }
        this.unanswered.delete(run);
        run.stopAcceptedAt ??= this.options.clock.now();
        if (run.state === "uncertain") {
            this.options.onUncertainStopped();
        }
    }

    private recordUnanswered(run: Run): void {
        const isPresent = this.options.runs.get(run.task) === run;
        if (isPresent && run.stopAcceptedAt === undefined) {
            this.unanswered.add(run);
        }
    }

    private async orderWithdrawal(start: GivenUpStart): Promise<void> {
        start.orderedAt = this.options.clock.now();
        start.acceptedIn = await this.callStop(start.run) ?? start.acceptedIn;
    }

    /** The incarnation that accepted the stop; undefined when none did, or when the worker restarted meanwhile. */
    private async callStop({ task, run }: Run): Promise<number | undefined> {
        const { driver, getFencingToken, getIncarnation, metrics } = this.options;
        metrics.count("anvilmux_stop_orders_total");
        const incarnation = getIncarnation();
        const isAccepted = await driver.stop(task, run, getFencingToken());
        return isAccepted && incarnation === getIncarnation() ? incarnation : undefined;
    }
}
