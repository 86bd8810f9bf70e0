/**
 * Applies the lists of one worker to its runs: which ended, which are in progress, which are stalled, and which are
 * certainly lost. Lists may overtake each other.
 */

import type { Milliseconds } from "@anvilmux/common";
import { maximumListedCompletions, maximumLoggedRuns } from "./constants";
import { newRun } from "./RunTable";
import type { Run, RunTable } from "./RunTable";
import type { RunList, TaskName, WorkerId } from "./types";
import type { WorkerSessionOptions } from "./workerSessionOptions";
import type { WorkerTime } from "./WorkerTime";

export interface ListReaderOptions
    extends Pick<WorkerSessionOptions, "clock" | "logger" | "onEnd" | "onFound" | "onStandstill"> {
    /** Called with the runs that ended with the worker's former incarnation. */
    readonly onRestart: (lost: readonly Run[]) => void;
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
    private listedIncarnation = 0;
    /** When the latest list without unreadable rows was requested; negative before the first. */
    private completeListSentAt: Milliseconds = -1;

    constructor(private readonly options: ListReaderOptions) {}

    /** Number of the last acknowledged completion. */
    get lastAcknowledged(): number {
        return this.lastCompletion;
    }

    /** Incarnation of the worker in the latest list; 0 before the first. */
    get incarnation(): number {
        return this.listedIncarnation;
    }

    /** True when all rows of a list that was requested then or later could be read. */
    isCompleteSince(time: Milliseconds): boolean {
        return this.completeListSentAt >= time;
    }

    /** Applies a list that was requested at `sentAt`. */
    read(list: RunList, sentAt: Milliseconds): ListResult {
        const isSameIncarnation = list.incarnation === this.incarnation;
        if (list.incarnation < this.incarnation || (isSameIncarnation && list.clock < this.newestClock)) {
            return "overtaken";
        }
        this.newestClock = list.clock;
        this.options.time.recordClock(list.clock, list.incarnation);
        const isRestart = this.updateIncarnation(list.incarnation);
        const result = list.completions.some(completion => completion.number > this.lastCompletion)
            ? "ends"
            : "no-ends";
        this.acknowledgeCompletions(list);
        this.confirmRunning(list);
        if (list.completions.length < maximumListedCompletions && !list.isIncomplete) {
            this.endMissing(list, sentAt, isRestart);
        }
        this.addFoundRuns(list);
        if (!list.isIncomplete) {
            this.completeListSentAt = Math.max(this.completeListSentAt, sentAt);
        }
        return result;
    }

    /**
     * True for a new incarnation of the worker, which restarts the numbering of completions. It has none of the runs
     * that the former one confirmed, but may receive starts that were sent to that one.
     */
    private updateIncarnation(incarnation: number): boolean {
        const formerIncarnation = this.listedIncarnation;
        const isNewIncarnation = formerIncarnation !== 0 && formerIncarnation !== incarnation;
        this.listedIncarnation = incarnation;
        if (isNewIncarnation) {
            const { logger, worker, runs } = this.options;
            logger.warn("worker restarted", {
                worker,
                formerIncarnation,
                incarnation,
                earlierRuns: runs.size,
                runs: runs.getAll().slice(0, maximumLoggedRuns).map(describe).join(", "),
            });
            this.lastCompletion = 0;
            runs.getAll().forEach(run => run.stopAcceptedAt = undefined);
        }
        return isNewIncarnation;
    }

    private acknowledgeCompletions(list: RunList): void {
        for (const completion of list.completions) {
            if (completion.number > this.lastCompletion) {
                this.lastCompletion = completion.number;
                const record = this.options.runs.get(completion.task);
                if (record?.run === completion.run) {
                    this.options.onEnd(record, { outcome: completion.how, cause: "listed" });
                }
            }
        }
    }

    private confirmRunning(list: RunList): void {
        for (const item of list.running) {
            const record = this.options.runs.get(item.task);
            if (record && record.run < item.run) {
                // Another owner started the task again after this one's run had ended.
                this.options.onEnd(record, { outcome: "lost", cause: "replaced" });
            }
            else if (record?.run === item.run) {
                record.state = "running";
                record.confirmedAt = this.options.clock.now();
                record.listedIn = list.incarnation;
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

    private endMissing(list: RunList, sentAt: Milliseconds, isRestart: boolean): void {
        const { clock, logger, worker, runs, onEnd, onRestart } = this.options;
        const sentClock = list.clock - (clock.now() - sentAt);
        const missing = runs.findMissing(list, sentAt, sentClock);
        if (isRestart) {
            onRestart(missing);
            return;
        }
        for (const run of missing) {
            logger.info("run missing from the worker's list", {
                worker,
                task: run.task,
                run: run.run,
                state: run.state,
                listAgeMs: Math.round(clock.now() - sentAt),
                confirmedMs: Math.round(sentAt - run.confirmedAt),
                listed: list.running.length,
            });
            const outcome = run.state === "running" ? "lost" : "never-started";
            onEnd(run, { outcome, cause: "missing-from-list" });
        }
    }

    /** After the missing runs have ended: a listed run of another owner may have a lower number than one of them. */
    private addFoundRuns(list: RunList): void {
        list.running
            .filter(item => this.options.runs.get(item.task) === undefined)
            .forEach(item => this.addFoundRun(item.task, item.run));
    }

    private addFoundRun(task: TaskName, run: number): void {
        const record = newRun({
            task,
            run,
            request: undefined,
            orderedAt: this.options.clock.now(),
            startDeadline: 0,
            incarnation: this.incarnation,
        });
        record.state = "running";
        record.confirmedAt = record.orderedAt;
        record.listedIn = this.incarnation;
        this.options.runs.add(record);
        this.options.onFound(record);
    }
}

const describe = ({ task, run, state }: Run): string => `${task} ${run} ${state}`;
