/**
 * Applies the lists of one worker to its runs: which ended, which are in progress, which are stalled, and which are
 * certainly lost. Lists may overtake each other.
 */

import type { Milliseconds } from "@anvilmux/common";
import { maximumListedCompletions } from "./constants";
import { newRun } from "./RunTable";
import type { Run, RunTable } from "./RunTable";
import type { RunList, TaskName, WorkerId } from "./types";
import type { WorkerSessionOptions } from "./workerSessionOptions";
import type { WorkerTime } from "./WorkerTime";

export interface ListReaderOptions
    extends Pick<WorkerSessionOptions, "clock" | "logger" | "onEnd" | "onFound" | "onStandstill"> {
    /** Called when the worker runs in a new incarnation, which has none of the earlier runs. */
    readonly onRestart: () => void;
    readonly worker: WorkerId;
    readonly runs: RunTable;
    readonly time: WorkerTime;
}

/** Result of reading a list: ignored because a newer one arrived first, new completions, or no new completions. */
export type ListResult = "overtaken" | "ends" | "no-ends";

export class ListReader {
    private lastCompletion = 0;
    /** The worker's clock in the latest list of its current incarnation. */
    private newestClock: Milliseconds = 0;
    private incarnation = 0;

    constructor(private readonly options: ListReaderOptions) {}

    /** Number of the last acknowledged completion. */
    get lastAcknowledged(): number {
        return this.lastCompletion;
    }

    /** Applies a list that was requested at `sentAt`. */
    read(list: RunList, sentAt: Milliseconds): ListResult {
        const isSameIncarnation = list.incarnation === this.incarnation;
        if (list.incarnation < this.incarnation || (isSameIncarnation && list.clock < this.newestClock)) {
            return "overtaken";
        }
        this.newestClock = list.clock;
        this.options.time.recordClock(list.clock);
        this.updateIncarnation(list.incarnation);
        const result = list.completions.some(completion => completion.number > this.lastCompletion)
            ? "ends"
            : "no-ends";
        this.acknowledgeCompletions(list);
        this.confirmRunning(list);
        if (list.completions.length < maximumListedCompletions && !list.isIncomplete) {
            this.endMissing(list, sentAt);
        }
        return result;
    }

    /** A new incarnation of the worker has none of the earlier runs and restarts the numbering of completions. */
    private updateIncarnation(incarnation: number): void {
        const isNewIncarnation = this.incarnation !== 0 && this.incarnation !== incarnation;
        this.incarnation = incarnation;
        if (isNewIncarnation) {
            const { logger, worker, runs, onRestart } = this.options;
            logger.warn("worker restarted; its runs are lost", { worker, lostRuns: runs.size });
            this.lastCompletion = 0;
            onRestart();
        }
    }

    private acknowledgeCompletions(list: RunList): void {
        for (const completion of list.completions) {
            if (completion.number > this.lastCompletion) {
                this.lastCompletion = completion.number;
                const record = this.options.runs.get(completion.task);
                if (record?.run === completion.run) {
                    this.options.onEnd(record, completion.how);
                }
            }
        }
    }

    private confirmRunning(list: RunList): void {
        for (const item of list.running) {
            const record = this.options.runs.get(item.task);
            if (!record) {
                this.addFoundRun(item.task, item.run);
            }
            else if (record.run < item.run) {
                // Another owner started the task again after this one's run had ended.
                this.options.onEnd(record, "lost");
                this.addFoundRun(item.task, item.run);
            }
            else if (record.run === item.run) {
                record.state = "running";
                record.confirmedAt = this.options.clock.now();
                this.recordProgress(record, item.percent, list.clock);
            }
        }
    }

    private recordProgress(run: Run, percent: number, clock: Milliseconds): void {
        const isStalled = run.progress.record(percent, clock, run.request?.estimateMs);
        if (isStalled && run.stopOrderedAt === undefined) {
            this.options.onStandstill(run, percent);
        }
    }

    private endMissing(list: RunList, sentAt: Milliseconds): void {
        const { clock, logger, worker, runs, onEnd } = this.options;
        const sentClock = list.clock - (clock.now() - sentAt);
        for (const run of runs.findMissing(list, sentAt, sentClock)) {
            logger.info("run missing from the worker's list", {
                worker,
                task: run.task,
                run: run.run,
                state: run.state,
                listAgeMs: Math.round(clock.now() - sentAt),
                confirmedMs: Math.round(sentAt - run.confirmedAt),
                listed: list.running.length,
            });
            onEnd(run, run.state === "running" ? "lost" : "never-started");
        }
    }

    private addFoundRun(task: TaskName, run: number): void {
        const record = newRun({
            task,
            run,
            request: undefined,
            orderedAt: this.options.clock.now(),
            startDeadline: 0,
        });
        record.state = "running";
        this.options.runs.add(record);
        this.options.onFound(record);
    }
}
