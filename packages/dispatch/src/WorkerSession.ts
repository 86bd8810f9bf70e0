/**
 * One worker in the hands of its owner: the lease, the list of its runs, the orders it was given, and what is known of
 * runs while the worker does not answer.
 */

import { sleep } from "@anvilmux/common";
import type { Milliseconds } from "@anvilmux/common";
import {
    busyWatchWaitMs,
    endGatherMs,
    firstRetryPauseMs,
    idleWatchWaitMs,
    longestRetryPauseMs,
    lookAfterValidityMs,
    orderTimeoutMs,
    startValidityMs,
    stopRepeatMs,
    watchGraceMs,
    workerLeaseMs,
} from "./constants";
import { ListReader } from "./ListReader";
import { newRun, RunTable } from "./RunTable";
import type { Run, RunOutcome } from "./RunTable";
import { fits, subtractRoom } from "./types";
import type { Room, StartAnswer, TaskName, TaskRequest, WorkerAnnouncement, WorkerId, WorkerList } from "./types";
import { WorkerPause } from "./WorkerPause";
import type { WorkerSessionOptions } from "./workerSessionOptions";
import { WorkerTime } from "./WorkerTime";

export class WorkerSession {
    private announced: WorkerAnnouncement;
    private readonly runs = new RunTable();
    private readonly lists: ListReader;
    private readonly time: WorkerTime;
    private reachable = false;
    private everListed = false;
    /** Only a list asked for after this time tells all that runs. */
    private listsCountFrom: Milliseconds = 0;
    private closed = false;
    private failures = 0;
    private readonly paused: WorkerPause;

    constructor(private readonly options: WorkerSessionOptions) {
        this.announced = options.announcement;
        this.time = new WorkerTime(options.clock);
        this.paused = new WorkerPause(options.clock);
        this.lists = new ListReader({
            ...options,
            worker: this.id,
            runs: this.runs,
            time: this.time,
            onEnd: (run, outcome) => this.end(run, outcome),
        });
        void this.keepWatch();
    }

    get id(): WorkerId {
        return this.announced.id;
    }

    get announcement(): WorkerAnnouncement {
        return this.announced;
    }

    /** True once the worker has listed its runs to this owner. */
    get isListed(): boolean {
        return this.everListed;
    }

    get isUsable(): boolean {
        return this.reachable && this.everListed && !this.closed && this.announced.state === "ready"
            && !this.paused.isOn && !this.runs.hasUnknownRuns();
    }

    get free(): Room {
        return subtractRoom(this.announced.room, this.runs.used);
    }

    /** True when the task fits beside what runs, or may run, there. */
    hasRoom(needed: Room): boolean {
        return fits(this.free, needed);
    }

    /** Tells what a run that an earlier owner started is, and counts its room. */
    setRequest(run: Run, request: TaskRequest): void {
        this.runs.setRequest(run, request);
    }

    update(announcement: WorkerAnnouncement): void {
        this.announced = announcement;
    }

    /** Gives the worker no task for a while. */
    pause(length: Milliseconds): void {
        this.paused.begin(length);
    }

    /** Orders a start. The end of the run, also of one that never began, is reported by `onEnd`. */
    start(request: TaskRequest, run: number, payload: string): void {
        const task = request.name;
        const startDeadline = this.time.now() + startValidityMs;
        const record = newRun({ task, run, request, orderedAt: this.options.clock.now(), startDeadline });
        this.runs.add(record);
        this.time.noteGrant(record.orderedAt, startValidityMs);
        this.options.metrics.count("anvilmux_start_orders_total");
        const fence = this.options.getFence();
        const order = { task, run, payload, fence, deadline: startDeadline };
        void this.options.driver.start(order).then(answer => this.noteStart(record, fence, answer));
    }

    /** Orders a stop; repeated until the worker lists the end. */
    stop(task: TaskName): void {
        const run = this.runs.get(task);
        if (run && run.stopOrderedAt === undefined) {
            this.orderStop(run);
        }
    }

    getRun(task: TaskName): Run | undefined {
        return this.runs.get(task);
    }

    /** The token was raised: what another owner started in between is known only from a new list. */
    listAgain(): void {
        this.everListed = false;
        this.listsCountFrom = this.options.clock.now();
        void this.look();
    }

    /** Ends the session without touching what runs. */
    close(): void {
        this.closed = true;
        this.options.driver.close();
    }

    private orderStop(run: Run): void {
        run.stopOrderedAt = this.options.clock.now();
        this.options.metrics.count("anvilmux_stop_orders_total");
        void this.options.driver.stop(run.task, run.run, this.options.getFence());
    }

    private noteStart(run: Run, fence: number, answer: StartAnswer): void {
        if (this.closed || this.runs.get(run.task) !== run) {
            return;
        }
        switch (answer.kind) {
            case "started":
                this.time.noteClock(answer.clock);
                this.paused.noteAnswered();
                run.confirmedAt = this.options.clock.now();
                run.state = "running";
                return;
            case "refused":
                if (answer.clock !== undefined) {
                    // A start refused as late shows how far the estimate is off.
                    this.time.noteClock(answer.clock);
                }
                this.noteRefusal(run, fence, answer.reason);
                return;
            case "gone":
                this.end(run, "never-started");
                this.noteGone();
                return;
            case "unanswered":
                this.noteUnanswered(run, answer.reason);
        }
    }

    /** The start may yet be carried out until its deadline; a look after that tells. */
    private noteUnanswered(run: Run, reason: string): void {
        if (run.state === "ordered") {
            run.state = "uncertain";
        }
        this.paused.noteUnanswered();
        this.options.logger.warn("start without an answer", { worker: this.id, task: run.task, run: run.run, reason });
        const untilLook = run.startDeadline - this.time.now() + lookAfterValidityMs;
        this.options.timers.after(Math.max(0, untilLook), () => void this.lookForUncertainRuns());
    }

    private async lookForUncertainRuns(): Promise<void> {
        if (!this.closed && this.reachable && this.runs.getAll().some(run => run.state === "uncertain")) {
            await this.look();
        }
    }

    /** One look beside the waiting watch. */
    private async look(): Promise<void> {
        const sentAt = this.options.clock.now();
        this.options.metrics.count("anvilmux_worker_looks_total");
        const answer = await this.options.driver.watch({
            fence: this.options.getFence(),
            lastSeen: this.lists.lastSeen,
            leaseUntil: undefined,
            waitMs: 0,
            timeoutMs: orderTimeoutMs,
        });
        // Without an answer the waiting watch tells.
        if (answer.kind === "listed" && !this.closed) {
            this.noteList(answer.list, sentAt);
        }
    }

    private noteRefusal(run: Run, fence: number, reason: string): void {
        this.options.metrics.count("anvilmux_start_refusals_total", { reason });
        this.options.logger.info("start refused by the worker", {
            worker: this.id,
            task: run.task,
            run: run.run,
            reason,
            freeMillicores: this.free.millicores,
        });
        if (reason === "fence") {
            this.pause(firstRetryPauseMs);
            this.end(run, "refused");
            this.options.onFenced(fence);
            return;
        }
        if (reason === "unhealthy") {
            this.pause(longestRetryPauseMs);
        }
        if (reason === "room") {
            this.pause(firstRetryPauseMs);
        }
        this.end(run, reason === "old" ? "refused-old" : reason === "invalid" ? "invalid" : "refused");
    }

    private async keepWatch(): Promise<void> {
        while (!this.closed) {
            const pause = await this.watchOnce();
            if (pause > 0) {
                await sleep(this.options.timers, pause);
            }
        }
    }

    /** One look at the worker's runs; returns the pause before the next. */
    private async watchOnce(): Promise<Milliseconds> {
        const { clock, driver, getFence, metrics } = this.options;
        const sentAt = clock.now();
        const isSteady = this.reachable && this.time.isKnown;
        const longestWaitMs = this.runs.size > 0 ? busyWatchWaitMs : idleWatchWaitMs;
        const waitMs = isSteady ? longestWaitMs : 0;
        const fence = getFence();
        if (isSteady) {
            this.time.noteGrant(sentAt, workerLeaseMs);
        }
        metrics.count("anvilmux_worker_looks_total");
        const answer = await driver.watch({
            fence,
            lastSeen: this.lists.lastSeen,
            // While the worker does not answer, its lease must end at a known time.
            leaseUntil: isSteady ? this.time.now() + workerLeaseMs : undefined,
            waitMs,
            timeoutMs: waitMs + watchGraceMs,
        });
        if (this.closed) {
            return 0;
        }
        switch (answer.kind) {
            case "listed":
                this.failures = 0;
                return this.noteList(answer.list, sentAt);
            case "refused":
                this.options.onFenced(fence);
                return firstRetryPauseMs;
            case "gone":
                this.noteGone();
                return 0;
            case "unanswered":
                return this.noteSilence(answer.reason);
        }
    }

    private noteList(list: WorkerList, sentAt: Milliseconds): Milliseconds {
        const news = this.lists.read(list, sentAt);
        if (news === "overtaken") {
            return 0;
        }
        const wasUsable = this.reachable && this.everListed;
        this.reachable = true;
        this.everListed ||= sentAt >= this.listsCountFrom;
        if (!wasUsable && this.everListed) {
            this.options.logger.info("worker reachable", { worker: this.id, runs: this.runs.size });
            this.options.onChange();
        }
        this.repeatStops();
        return news === "ends" ? endGatherMs : 0;
    }

    private noteSilence(reason: string): Milliseconds {
        const now = this.options.clock.now();
        this.failures += 1;
        if (this.reachable) {
            this.reachable = false;
            this.options.logger.warn("worker does not answer", { worker: this.id, reason, runs: this.runs.size });
            this.options.onChange();
            return 1;
        }
        if (now > this.time.runsPossibleUntil && this.runs.size > 0) {
            this.endAll("lost");
        }
        if (this.announced.state === "left" && this.runs.size === 0) {
            this.noteGone();
            return 0;
        }
        const pause = Math.min(longestRetryPauseMs, firstRetryPauseMs * 2 ** Math.min(8, this.failures - 2));
        return this.runs.size > 0 ? Math.max(1, Math.min(pause, this.time.runsPossibleUntil - now)) : pause;
    }

    private noteGone(): void {
        if (this.closed) {
            return;
        }
        this.endAll("lost");
        this.close();
        this.options.onGone();
    }

    private repeatStops(): void {
        const now = this.options.clock.now();
        for (const run of this.runs.getAll()) {
            if (run.stopOrderedAt !== undefined && now - run.stopOrderedAt > stopRepeatMs) {
                this.orderStop(run);
            }
        }
    }

    private endAll(outcome: RunOutcome): void {
        this.runs.getAll().forEach(run => this.end(run, outcome));
    }

    private end(run: Run, outcome: RunOutcome): void {
        this.runs.remove(run);
        this.options.onEnd(run, outcome);
    }
}
