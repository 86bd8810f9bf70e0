/**
 * An owner's session with one worker: it extends the lease, reads the list of runs, orders starts and stops, and tracks
 * which runs may continue while the worker does not answer. A watch, a long poll, extends the lease and lists runs.
 */

import type { Milliseconds } from "@anvilmux/common";
import type { LogFields } from "@anvilmux/telemetry";
import {
    completionBatchMs,
    firstRetryPauseMs,
    longestRetryPauseMs,
    orderTimeoutMs,
    pollAfterValidityMs,
    startValidityMs,
    watchGraceMs,
    workerLeaseMs,
} from "./constants";
import { InterruptiblePause } from "./InterruptiblePause";
import { LeaseExtension } from "./LeaseExtension";
import { ListReader } from "./ListReader";
import { RunStopper } from "./RunStopper";
import { isInferred, newRun, RunTable } from "./RunTable";
import type { Run, RunEnd, RunEndCause, RunOutcome } from "./RunTable";
import { logUnassignedRun } from "./schedulerLog";
import { getRefusalOutcome, getRefusalPause } from "./startRefusals";
import { fits, getLargerResources, subtractResources } from "./types";
import type { RefusedStart, Resources, RunList, StartAnswer, TaskName, TaskRequest, Unanswered } from "./types";
import type { WorkerAnnouncement, WorkerId } from "./types";
import { describeRun, logReachable, logRefusedStart, logUnansweredStart, logUnansweredWatch } from "./workerLog";
import { WorkerPause } from "./WorkerPause";
import type { WorkerSessionOptions } from "./workerSessionOptions";
import { WorkerTime } from "./WorkerTime";

export class WorkerSession {
    private announced: WorkerAnnouncement;
    /** The most of each resource that this incarnation of the worker announced; its room may shrink for a while. */
    private largestAnnouncedRoom: Resources;
    private readonly runs = new RunTable(() => this.updateFree());
    private freeResources: Resources;
    private readonly lists: ListReader;
    private readonly stopper: RunStopper;
    private readonly leaseExtension: LeaseExtension;
    private readonly workerTime: WorkerTime;
    private reachable = false;
    private hasCurrentList = false;
    /** Only a list requested at or after this time is complete. */
    private listsValidFrom: Milliseconds = 0;
    private closed = false;
    private unansweredWatches = 0;
    /** True while the latest watch found that the worker's process does not run. */
    private isProcessDown = false;
    private readonly paused: WorkerPause;
    private readonly loopPause: InterruptiblePause;

    constructor(private readonly options: WorkerSessionOptions) {
        this.announced = options.announcement;
        this.largestAnnouncedRoom = options.announcement.room;
        this.freeResources = options.announcement.room;
        this.workerTime = new WorkerTime(options.clock);
        this.paused = new WorkerPause(options.clock);
        this.loopPause = new InterruptiblePause(options.timers);
        this.lists = new ListReader({
            ...options,
            worker: this.id,
            runs: this.runs,
            time: this.workerTime,
            onEnd: (run, end) => this.end(run, end),
            onRestart: lost => this.endAll(lost, this.getCrashOutcome(), "new-incarnation"),
        });
        this.stopper = new RunStopper({
            ...options,
            runs: this.runs,
            getIncarnation: () => this.lists.incarnation,
            onUncertainStopped: () => void this.pollUncertainRuns(),
        });
        const { id: worker, runs, workerTime: time } = this;
        this.leaseExtension = new LeaseExtension({ ...options, worker, runs, time });
        void this.runWatchLoop();
    }

    get id(): WorkerId {
        return this.announced.id;
    }

    get announcement(): WorkerAnnouncement {
        return this.announced;
    }

    /** True when the worker has listed all its runs since this owner's fencing token was last raised. */
    get isListed(): boolean {
        return this.lists.isCompleteSince(this.listsValidFrom);
    }

    get isUsable(): boolean {
        return this.isAble && (this.options.mayGetTasks?.(this.id) ?? true);
    }

    /** True for a worker that could run tasks, whether or not its owner gives it any at present. */
    get isAble(): boolean {
        return this.reachable && this.hasCurrentList && !this.closed && this.announced.state === "ready"
            && !this.paused.isActive && !this.runs.hasUnknownRuns() && !this.stopper.hasUnansweredStops;
    }

    get largestRoom(): Resources {
        return this.largestAnnouncedRoom;
    }

    get free(): Resources {
        return this.freeResources;
    }

    /** True when the task fits beside the runs that are, or may be, in progress. */
    hasCapacity(needed: Resources): boolean {
        return fits(this.freeResources, needed);
    }

    /** Sets the request of a run that an earlier owner started, and counts its resources. */
    setRequest(run: Run, request: TaskRequest): void {
        this.runs.setRequest(run, request);
    }

    update(announcement: WorkerAnnouncement): void {
        const isSameIncarnation = announcement.incarnation === this.announced.incarnation;
        this.largestAnnouncedRoom = isSameIncarnation
            ? getLargerResources(this.largestAnnouncedRoom, announcement.room)
            : announcement.room;
        this.announced = announcement;
        this.updateFree();
    }

    /** Places no tasks on the worker for `length` milliseconds. */
    pause(length: Milliseconds): void {
        this.paused.begin(length);
    }

    /** Orders a start. `onEnd` reports the end of the run, also when it never started. */
    start(request: TaskRequest, run: number, payload: string): void {
        const task = request.name;
        const startDeadline = this.workerTime.now() + startValidityMs;
        const { incarnation } = this.lists;
        const orderedAt = this.options.clock.now();
        const record = newRun({ task, run, request, orderedAt, startDeadline, incarnation });
        const replaced = this.runs.add(record);
        if (replaced) {
            logUnassignedRun(this.options, this, replaced, { outcome: "lost", cause: "replaced" });
        }
        this.workerTime.recordGrant(record.orderedAt, startValidityMs);
        this.options.metrics.count("anvilmux_start_orders_total");
        const fencingToken = this.options.getFencingToken();
        const order = { task, run, payload, fencingToken, deadline: startDeadline };
        void this.options.driver.start(order).then(answer => this.handleStartAnswer(record, fencingToken, answer));
    }

    /** Orders a stop, repeated until the run has ended. */
    stop(task: TaskName): void {
        const run = this.runs.get(task);
        if (run) {
            this.stopper.stop(run);
        }
    }

    get runCount(): number {
        return this.runs.size;
    }

    getRun(task: TaskName): Run | undefined {
        return this.runs.get(task);
    }

    /** What this owner knows of a run, for the log. */
    describeRun(run: Run): LogFields {
        return describeRun(run, {
            now: this.options.clock.now(),
            time: this.workerTime,
            listedIncarnation: this.lists.incarnation,
            announcedIncarnation: this.announced.incarnation,
        });
    }

    /** Requires a new list after the fencing token was raised, since another owner may have started runs meanwhile. */
    invalidateList(): void {
        this.hasCurrentList = false;
        this.listsValidFrom = this.options.clock.now();
        void this.poll();
    }

    /** Ends the session without stopping any runs. */
    close(): void {
        this.closed = true;
        this.options.driver.close();
    }

    private updateFree(): void {
        this.freeResources = subtractResources(this.announced.room, this.runs.used);
        this.options.onFreeChange();
    }

    private handleStartAnswer(run: Run, fencingToken: number, answer: StartAnswer): void {
        if (this.closed || this.runs.get(run.task) !== run) {
            return;
        }
        switch (answer.kind) {
            case "started":
                this.workerTime.recordClock(answer.clock, run.incarnation);
                this.paused.recordAnswered();
                run.confirmedAt = this.options.clock.now();
                run.state = "running";
                return;
            case "refused":
                this.handleStartRefusal(run, fencingToken, answer);
                return;
            case "gone":
                this.end(run, { outcome: "never-started", cause: "worker-gone" });
                this.handleRemoved();
                return;
            case "unanswered":
                if (answer.isRefused) {
                    this.paused.recordUnanswered();
                    this.end(run, { outcome: "never-started", cause: "connection-refused", relay: answer.relay });
                    return;
                }
                this.handleUnansweredStart(run, answer);
        }
    }

    /** The start may still be carried out until its deadline; a poll after that shows whether it was. */
    private handleUnansweredStart(run: Run, answer: Unanswered): void {
        if (run.state === "ordered") {
            run.state = "uncertain";
        }
        if (!answer.isRelayLost) {
            this.paused.recordUnanswered();
        }
        logUnansweredStart(this.options.logger, this.id, run, answer);
        this.stopper.stopUncertainOfOtherIncarnations();
        const pollDelayMs = run.startDeadline - this.workerTime.now() + pollAfterValidityMs;
        this.options.timers.after(Math.max(0, pollDelayMs), () => void this.pollUncertainRuns());
    }

    private async pollUncertainRuns(): Promise<void> {
        if (!this.closed && this.reachable && this.runs.getAll().some(run => run.state === "uncertain")) {
            await this.poll();
        }
    }

    /** Requests a list at once, in parallel with the waiting watch, without extending the lease. */
    private async poll(): Promise<void> {
        const sentAt = this.options.clock.now();
        this.options.metrics.count("anvilmux_worker_looks_total");
        const answer = await this.options.driver.watch({
            fencingToken: this.options.getFencingToken(),
            lastAcknowledged: this.lists.lastAcknowledged,
            leaseUntil: undefined,
            waitMs: 0,
            timeoutMs: orderTimeoutMs,
        });
        // An unresponsive worker is detected by the waiting watch.
        if (answer.kind === "listed" && !this.closed) {
            this.handleList(answer.list, sentAt);
        }
    }

    private handleStartRefusal(run: Run, fencingToken: number, answer: RefusedStart): void {
        const { reason, relay, clock } = answer;
        if (clock !== undefined) {
            // A start refused as late shows that the clock estimate is off; this corrects it.
            this.workerTime.recordClock(clock, run.incarnation);
        }
        this.options.metrics.count("anvilmux_start_refusals_total", { reason });
        logRefusedStart(this.options.logger, this.id, run, answer, this.free.millicores);
        this.pause(getRefusalPause(reason));
        this.end(run, { outcome: getRefusalOutcome(reason), cause: "refused", relay });
        if (reason === "fence") {
            this.options.onFenced(fencingToken);
        }
    }

    private async runWatchLoop(): Promise<void> {
        while (!this.closed) {
            const pause = await this.watchOnce();
            if (pause > 0) {
                await this.loopPause.wait(pause);
            }
        }
    }

    /** Sends one watch; returns the pause before the next. */
    private async watchOnce(): Promise<Milliseconds> {
        const { clock, driver, getFencingToken, metrics } = this.options;
        const sentAt = clock.now();
        const fencingToken = getFencingToken();
        const { leaseUntil, waitMs } = this.leaseExtension.planWatch(this.reachable && this.hasCurrentList);
        metrics.count("anvilmux_worker_looks_total");
        const answer = await driver.watch({
            fencingToken,
            lastAcknowledged: this.lists.lastAcknowledged,
            leaseUntil,
            waitMs,
            timeoutMs: waitMs + watchGraceMs,
        });
        if (this.closed) {
            return 0;
        }
        switch (answer.kind) {
            case "listed":
                this.unansweredWatches = 0;
                this.isProcessDown = false;
                return this.handleList(answer.list, sentAt);
            case "refused":
                this.options.onFenced(fencingToken);
                return firstRetryPauseMs;
            case "gone":
                this.handleRemoved();
                return 0;
            case "unanswered":
                this.isProcessDown = answer.isRefused ?? false;
                return this.handleUnansweredWatch(answer);
        }
    }

    private handleList(list: RunList, sentAt: Milliseconds): Milliseconds {
        const result = this.lists.read(list, sentAt);
        if (result === "overtaken") {
            return 0;
        }
        const wasUsable = this.reachable && this.hasCurrentList;
        if (!this.reachable) {
            this.reachable = true;
            this.loopPause.end();
        }
        if (!this.hasCurrentList && sentAt >= this.listsValidFrom) {
            this.hasCurrentList = true;
            // From now on the worker refuses a former owner, whose last lease may have been granted just before.
            this.workerTime.recordGrant(this.options.clock.now(), workerLeaseMs);
        }
        if (!wasUsable && this.hasCurrentList) {
            logReachable(this.options.logger, this.id, this.runs.size, this.workerTime);
            this.options.onChange();
        }
        this.stopper.stopUncertainOfOtherIncarnations();
        this.stopper.repeat();
        return result === "ends" ? completionBatchMs : 0;
    }

    private handleUnansweredWatch(answer: Unanswered): Milliseconds {
        const now = this.options.clock.now();
        this.unansweredWatches += 1;
        if (this.reachable) {
            this.reachable = false;
            const possibleFor = this.workerTime.runsPossibleUntil - now;
            logUnansweredWatch(this.options.logger, this.id, answer, this.runs.size, possibleFor);
            this.options.onChange();
            return 1;
        }
        if (now > this.workerTime.runsPossibleUntil && this.runs.size > 0) {
            const outcome = this.isProcessDown ? this.getCrashOutcome() : "lost";
            this.endAll(this.runs.getAll(), outcome, this.isProcessDown ? "process-down" : "lease-expired");
        }
        if (this.announced.state === "left" && this.runs.size === 0) {
            this.handleRemoved();
            return 0;
        }
        const pause = Math.min(longestRetryPauseMs, firstRetryPauseMs * 2 ** Math.min(8, this.unansweredWatches - 2));
        return this.runs.size > 0 ? Math.max(1, Math.min(pause, this.workerTime.runsPossibleUntil - now)) : pause;
    }

    private handleRemoved(): void {
        if (this.closed) {
            return;
        }
        this.endAll(this.runs.getAll(), this.getCrashOutcome(), "worker-gone");
        this.close();
        this.options.onRemoved();
    }

    /** How runs end with their worker's process; one that announced its end is expected to take its runs with it. */
    private getCrashOutcome(): RunOutcome {
        return this.announced.state === "ready" ? "crashed" : "lost";
    }

    private endAll(runs: readonly Run[], outcome: RunOutcome, cause: RunEndCause): void {
        if (outcome === "crashed" && runs.length > 0) {
            this.options.onCrash(runs);
        }
        runs.forEach(run => this.end(run, { outcome, cause }));
    }

    private end(run: Run, end: RunEnd): void {
        this.runs.remove(run);
        this.stopper.handleEnd(run);
        const mayStart = run.state !== "running" && isInferred(end) && run.stopAcceptedAt === undefined;
        if (mayStart && !this.closed) {
            this.stopper.withdraw(run);
        }
        this.options.onEnd(run, end);
    }
}
