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
    maximumListedEnds,
    orderTimeoutMs,
    startValidityMs,
    stopRepeatMs,
    watchGraceMs,
    workerLeaseMs,
} from "./constants";
import { newRun, RunTable } from "./RunTable";
import type { Run, RunOutcome } from "./RunTable";
import { fits, subtractRoom } from "./types";
import type { Room, RunEnd, StartAnswer, TaskName, WorkerAnnouncement, WorkerId, WorkerList } from "./types";
import { WorkerPause } from "./WorkerPause";
import type { WorkerSessionOptions } from "./workerSessionOptions";
import { WorkerTime } from "./WorkerTime";

export class WorkerSession {
    private announced: WorkerAnnouncement;
    private readonly runs = new RunTable();
    private lastSeen = 0;
    private readonly time: WorkerTime;
    private reachable = false;
    private everListed = false;
    private closed = false;
    private failures = 0;
    /** Clock of the newest list of this life of the worker. */
    private lastListClock = 0;
    private readonly paused: WorkerPause;
    private incarnation = 0;

    constructor(private readonly options: WorkerSessionOptions) {
        this.announced = options.announcement;
        this.time = new WorkerTime(options.clock);
        this.paused = new WorkerPause(options.clock);
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

    /** Counts the room of a run that an earlier owner started. */
    setNeeds(run: Run, needs: Room): void {
        this.runs.setNeeds(run, needs);
    }

    update(announcement: WorkerAnnouncement): void {
        this.announced = announcement;
    }

    /** Gives the worker no task for a while. */
    pause(length: Milliseconds): void {
        this.paused.begin(length);
    }

    /** Orders a start. The end of the run, also of one that never began, is reported by `onEnd`. */
    start(task: TaskName, run: number, payload: string, needs: Room): void {
        const startDeadline = this.time.now() + startValidityMs;
        const record = newRun({ task, run, needs, orderedAt: this.options.clock.now(), startDeadline });
        this.runs.add(record);
        this.time.noteGrant(record.orderedAt, startValidityMs);
        this.options.metrics.count("anvilmux_start_orders_total");
        const order = { task, run, payload, fence: this.options.getFence(), deadline: startDeadline };
        void this.options.driver.start(order).then(answer => this.noteStart(record, answer));
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

    private noteStart(run: Run, answer: StartAnswer): void {
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
                this.noteRefusal(run, answer.reason);
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

    /** One look beside the waiting watch. */
    private async lookForUncertainRuns(): Promise<void> {
        if (this.closed || !this.reachable || !this.runs.getAll().some(run => run.state === "uncertain")) {
            return;
        }
        const sentAt = this.options.clock.now();
        this.options.metrics.count("anvilmux_worker_looks_total");
        const answer = await this.options.driver.watch({
            fence: this.options.getFence(),
            lastSeen: this.lastSeen,
            leaseUntil: undefined,
            waitMs: 0,
            timeoutMs: orderTimeoutMs,
        });
        // Without an answer the waiting watch tells.
        if (answer.kind === "listed" && !this.closed && this.reachable) {
            this.noteList(answer.list, sentAt);
        }
    }

    private noteRefusal(run: Run, reason: string): void {
        this.options.metrics.count("anvilmux_start_refusals_total", { reason });
        this.options.logger.info("start refused by the worker", {
            worker: this.id,
            task: run.task,
            run: run.run,
            reason,
            freeMillicores: this.free.millicores,
        });
        if (reason === "fence") {
            this.end(run, "refused");
            this.options.onFenced(this.options.getFence());
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
            lastSeen: this.lastSeen,
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
        const isSameLife = list.incarnation === this.incarnation;
        if (list.incarnation < this.incarnation || (isSameLife && list.clock < this.lastListClock)) {
            // Overtaken by a newer list.
            return 0;
        }
        this.lastListClock = list.clock;
        this.time.noteClock(list.clock);
        this.beginLife(list.incarnation);
        const hadEnds = list.ends.some(end => end.number > this.lastSeen);
        for (const end of list.ends) {
            if (end.number > this.lastSeen) {
                this.lastSeen = end.number;
                this.noteEnd(end.task, end.run, end.how);
            }
        }
        this.noteRunning(list, sentAt);
        const isNews = !this.reachable || !this.everListed;
        this.reachable = true;
        this.everListed = true;
        if (isNews) {
            this.options.logger.info("worker reachable", { worker: this.id, runs: this.runs.size });
            this.options.onChange();
        }
        this.repeatStops();
        return hadEnds ? endGatherMs : 0;
    }

    /** A new life of the worker runs nothing of before and numbers its ends anew. */
    private beginLife(incarnation: number): void {
        const isOther = this.incarnation !== 0 && this.incarnation !== incarnation;
        this.incarnation = incarnation;
        if (isOther) {
            this.options.logger.warn("worker began a new life", { worker: this.id, lostRuns: this.runs.size });
            this.lastSeen = 0;
            this.endAll("lost");
        }
    }

    private noteEnd(task: TaskName, run: number, how: RunEnd): void {
        const record = this.runs.get(task);
        if (record?.run === run) {
            this.end(record, how);
        }
    }

    private noteRunning(list: WorkerList, sentAt: Milliseconds): void {
        for (const item of list.running) {
            const record = this.runs.get(item.task);
            if (!record) {
                this.find(item.task, item.run);
            }
            else if (record.run === item.run) {
                record.state = "running";
                record.confirmedAt = this.options.clock.now();
            }
        }
        if (list.ends.length < maximumListedEnds) {
            this.endMissing(list, sentAt);
        }
    }

    private endMissing(list: WorkerList, sentAt: Milliseconds): void {
        const sentClock = list.clock - (this.options.clock.now() - sentAt);
        for (const run of this.runs.findMissing(list, sentAt, sentClock)) {
            this.options.logger.info("run missing from the worker's list", {
                worker: this.id,
                task: run.task,
                run: run.run,
                state: run.state,
                listAgeMs: Math.round(this.options.clock.now() - sentAt),
                confirmedMs: Math.round(sentAt - run.confirmedAt),
                listed: list.running.length,
            });
            this.end(run, run.state === "running" ? "lost" : "never-started");
        }
    }

    private find(task: TaskName, run: number): void {
        const record = newRun({
            task,
            run,
            needs: undefined,
            orderedAt: this.options.clock.now(),
            startDeadline: 0,
        });
        record.state = "running";
        this.runs.add(record);
        this.options.onFound(record);
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
