/**
 * What the lists of one worker say of its runs: which ended, which go on, which make no progress, and which are
 * certainly gone. Lists may overtake each other.
 */

import type { Milliseconds } from "@anvilmux/common";
import { maximumListedEnds } from "./constants";
import { newRun } from "./RunTable";
import type { Run, RunTable } from "./RunTable";
import type { TaskName, WorkerId, WorkerList } from "./types";
import type { WorkerSessionOptions } from "./workerSessionOptions";
import type { WorkerTime } from "./WorkerTime";

export interface ListReaderOptions
    extends Pick<WorkerSessionOptions, "clock" | "logger" | "onEnd" | "onFound" | "onStandstill"> {
    readonly worker: WorkerId;
    readonly runs: RunTable;
    readonly time: WorkerTime;
}

/** What a list brought: nothing because a newer one came before it, ends of runs, or no end. */
export type ListNews = "overtaken" | "ends" | "no-ends";

export class ListReader {
    private lastEnd = 0;
    /** Clock of the newest list of this life of the worker. */
    private newestClock: Milliseconds = 0;
    private incarnation = 0;

    constructor(private readonly options: ListReaderOptions) {}

    /** Number of the last end taken note of. */
    get lastSeen(): number {
        return this.lastEnd;
    }

    /** Takes note of a list that was asked for at `sentAt`. */
    read(list: WorkerList, sentAt: Milliseconds): ListNews {
        const isSameLife = list.incarnation === this.incarnation;
        if (list.incarnation < this.incarnation || (isSameLife && list.clock < this.newestClock)) {
            return "overtaken";
        }
        this.newestClock = list.clock;
        this.options.time.noteClock(list.clock);
        this.beginLife(list.incarnation);
        const news = list.ends.some(end => end.number > this.lastEnd) ? "ends" : "no-ends";
        this.noteEnds(list);
        this.noteRunning(list);
        if (list.ends.length < maximumListedEnds) {
            this.endMissing(list, sentAt);
        }
        return news;
    }

    /** A new life of the worker runs nothing of before and numbers its ends anew. */
    private beginLife(incarnation: number): void {
        const isOther = this.incarnation !== 0 && this.incarnation !== incarnation;
        this.incarnation = incarnation;
        if (isOther) {
            const { logger, worker, runs, onEnd } = this.options;
            logger.warn("worker began a new life", { worker, lostRuns: runs.size });
            this.lastEnd = 0;
            runs.getAll().forEach(run => onEnd(run, "lost"));
        }
    }

    private noteEnds(list: WorkerList): void {
        for (const end of list.ends) {
            if (end.number > this.lastEnd) {
                this.lastEnd = end.number;
                const record = this.options.runs.get(end.task);
                if (record?.run === end.run) {
                    this.options.onEnd(record, end.how);
                }
            }
        }
    }

    private noteRunning(list: WorkerList): void {
        for (const item of list.running) {
            const record = this.options.runs.get(item.task);
            if (!record) {
                this.find(item.task, item.run);
            }
            else if (record.run === item.run) {
                record.state = "running";
                record.confirmedAt = this.options.clock.now();
                this.noteProgress(record, item.percent, list.clock);
            }
        }
    }

    private noteProgress(run: Run, percent: number, clock: Milliseconds): void {
        const standsStill = run.progress.note(percent, clock, run.request?.estimateMs);
        if (standsStill && run.stopOrderedAt === undefined) {
            this.options.onStandstill(run, percent);
        }
    }

    private endMissing(list: WorkerList, sentAt: Milliseconds): void {
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

    private find(task: TaskName, run: number): void {
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
