/** The workers of an owner: a session and a record for each, and the selection among them. */

import type { Clock, Milliseconds, Timers } from "@anvilmux/common";
import type { Logger, Metrics } from "@anvilmux/telemetry";
import { maximumReportedWorkers } from "./constants";
import type { Run, RunEnd } from "./RunTable";
import type { ObservedCapacity } from "./schedulerLog";
import { fits } from "./types";
import type {
    ConnectWorker,
    FreeCapacity,
    JobRequest,
    Resources,
    TaskName,
    WorkerAnnouncement,
    WorkerId,
} from "./types";
import type { ChooseWorker, GetPenalty } from "./workerChoice";
import { WorkerIndex } from "./WorkerIndex";
import { WorkerRecord } from "./WorkerRecord";
import { WorkerSession } from "./WorkerSession";
import { WorkerSpeed } from "./WorkerSpeed";

export interface OwnedWorkersOptions {
    readonly connect: ConnectWorker;
    readonly choose: ChooseWorker;
    /**
     * False while an entry that may succeed this owner does not know the worker, which then gets no tasks; else absent.
     */
    readonly isShared?: (id: WorkerId) => boolean;
    /** False for a worker that gets no tasks because its zone is drained, or was a moment ago; else absent. */
    readonly isInUse?: (id: WorkerId) => boolean;
    /** True while the entry that submitted the task's job waits for it here. */
    readonly isAwaited: (task: TaskName) => boolean;
    readonly getFencingToken: () => number;
    /** Called when a worker refused `fencingToken` because it had accepted a higher one. */
    readonly onFenced: (fencingToken: number) => void;
    readonly clock: Clock;
    readonly timers: Timers;
    readonly logger: Logger;
    readonly metrics: Metrics;
    readonly onEnd: (session: WorkerSession, run: Run, end: RunEnd) => void;
    readonly onCrash: (session: WorkerSession, runs: readonly Run[]) => void;
    readonly onFound: (session: WorkerSession, run: Run) => void;
    readonly onStandstill: (session: WorkerSession, run: Run, percent: number) => void;
    /** Called when a worker became usable or unreachable. */
    readonly onChange: () => void;
}

interface OwnedWorker {
    readonly session: WorkerSession;
    readonly record: WorkerRecord;
    readonly speed: WorkerSpeed;
}

export class OwnedWorkers {
    private readonly workers = new Map<WorkerId, OwnedWorker>();
    private readonly index = new WorkerIndex();

    constructor(private readonly options: OwnedWorkersOptions) {}

    /** Adds a worker, or applies its latest announcement. */
    set(announcement: WorkerAnnouncement): void {
        const present = this.workers.get(announcement.id);
        present?.record.setColdFor(announcement.coldForMs ?? 0);
        if (present) {
            present.session.update(announcement);
        }
        else if (announcement.state !== "left") {
            this.add(announcement);
        }
    }

    /** Adds a worker that has left, on which runs of a former owner may go on. */
    addDeparted(announcement: WorkerAnnouncement): void {
        if (!this.workers.has(announcement.id)) {
            this.add(announcement);
        }
    }

    getAnnouncements(): readonly WorkerAnnouncement[] {
        return [...this.workers.values()].map(({ session }) => session.announcement);
    }

    /** Why a job can never run here; undefined when it can, or when no worker of its service is known. */
    findPermanentObstacle(request: JobRequest): string | undefined {
        const oversized = request.tasks.find(task => this.isTooLarge(request.service, task));
        return oversized && `no worker is large enough for task ${oversized.name}`;
    }

    /** True once every worker has listed its runs; false while none is known. */
    areAllListed(): boolean {
        if (this.workers.size === 0) {
            return false;
        }
        for (const { session } of this.workers.values()) {
            if (!session.isListed) {
                return false;
            }
        }
        return true;
    }

    /** Free processors of the usable workers by service, the largest first; of at most `limit` workers of each. */
    getFreeCapacity(limit: number = maximumReportedWorkers): FreeCapacity {
        const byService = [...this.index.services].map(service =>
            [service, this.getLargestFree(service, limit)] as const
        );
        return Object.fromEntries(byService.filter(([, free]) => free.length > 0));
    }

    /** Capacity of a service, for the log. */
    describeCapacity(service: string): Omit<ObservedCapacity, "waitingJobs" | "otherZones"> {
        const capacity = { workers: 0, usableWorkers: 0, freeMillicores: 0, largestGapMillicores: 0 };
        for (const session of this.index.getAll(service)) {
            capacity.workers += 1;
            if (session.isUsable) {
                capacity.usableWorkers += 1;
                capacity.freeMillicores += session.free.millicores;
                capacity.largestGapMillicores = Math.max(capacity.largestGapMillicores, session.free.millicores);
            }
        }
        return capacity;
    }

    /** `getPenalty`: extra cost of a worker in millicores; by its record of slow runs when absent. */
    choose(
        service: string,
        needed: Resources,
        avoided: readonly WorkerSession[],
        getPenalty: GetPenalty = session => this.getRecordPenalty(session),
    ): WorkerSession | undefined {
        return this.options.choose({
            sessions: this.index.findWithFree(service, needed.millicores),
            needed,
            avoided,
            getPenalty,
        });
    }

    /** How many of `count` tasks the free capacity of the workers that may be chosen does not suffice for. */
    countMissing(service: string, needed: Resources, count: number, getPenalty: GetPenalty): number {
        let missing = count;
        for (const session of this.index.getAll(service)) {
            if (missing <= 0 || session.free.millicores < needed.millicores) {
                break;
            }
            if (session.isUsable && session.hasCapacity(needed) && getPenalty(session) < Infinity) {
                missing -= Math.floor(session.free.millicores / Math.max(1, needed.millicores));
            }
        }
        return Math.max(0, missing);
    }

    /** Processors of all workers of a service, in millicores, including those that return soon after a restore. */
    getCapacity(service: string): number {
        const { isShared } = this.options;
        let millicores = 0;
        for (const session of this.index.getAll(service)) {
            const isCounted = session.isAble && (isShared?.(session.id) ?? true);
            millicores += isCounted ? session.announcement.room.millicores : 0;
        }
        return millicores;
    }

    /** Extra cost of a worker by its record of the last runs, in millicores. */
    getRecordPenalty(session: WorkerSession): number {
        return this.workers.get(session.id)?.record.getPenalty() ?? 0;
    }

    /** The speed of a worker; 1 is ordinary. */
    getSpeed(session: WorkerSession): number {
        return this.workers.get(session.id)?.speed.value ?? 1;
    }

    /** Records how long a run took that was expected to take `expectedMs` on an ordinary worker. */
    recordSpeed(session: WorkerSession, expectedMs: Milliseconds, ranMs: Milliseconds): void {
        this.workers.get(session.id)?.speed.record(expectedMs, ranMs);
    }

    /** The workers of a service that run something. */
    getBusy(service: string): readonly WorkerSession[] {
        return [...this.index.getAll(service)].filter(session => session.runCount > 0);
    }

    /** Records a run that ended `done` after `ratio` times its estimate. */
    recordSuccess(session: WorkerSession, ratio: number): void {
        this.workers.get(session.id)?.record.recordSuccess(ratio);
    }

    /** Records a failed run; pauses the worker after too many in a row. */
    recordFailure(session: WorkerSession): void {
        this.pause(session, this.workers.get(session.id)?.record.recordFailure() ?? 0);
    }

    /** Records a stalled run and pauses its worker. */
    recordStall(session: WorkerSession): void {
        this.pause(session, this.workers.get(session.id)?.record.recordStall() ?? 0);
    }

    /** After the fencing token was raised: no task is placed on a worker until it has listed its runs again. */
    invalidateLists(): void {
        this.workers.forEach(worker => worker.session.invalidateList());
    }

    close(): void {
        this.workers.forEach(worker => worker.session.close());
        this.workers.clear();
        this.index.clear();
    }

    /** True when the service has workers and none of them, were it idle, had room for the task. */
    private isTooLarge(service: string, task: Resources): boolean {
        let isServed = false;
        for (const session of this.index.getAll(service)) {
            if (fits(session.largestRoom, task)) {
                return false;
            }
            isServed = true;
        }
        return isServed;
    }

    private getLargestFree(service: string, limit: number): readonly number[] {
        const free: number[] = [];
        for (const session of this.index.getAll(service)) {
            if (session.free.millicores <= 0 || free.length === limit) {
                break;
            }
            if (session.isUsable) {
                free.push(session.free.millicores);
            }
        }
        return free;
    }

    private pause(session: WorkerSession, pauseMs: Milliseconds): void {
        if (pauseMs > 0) {
            this.options.logger.warn("worker paused after failures", { worker: session.id, pauseMs });
            session.pause(pauseMs);
        }
    }

    private add(announcement: WorkerAnnouncement): void {
        const { isShared, isInUse } = this.options;
        const session: WorkerSession = new WorkerSession({
            ...this.options,
            mayGetTasks: id => (isInUse?.(id) ?? true) && (isShared?.(id) ?? true),
            announcement,
            driver: this.options.connect(announcement),
            onEnd: (run, end) => this.options.onEnd(session, run, end),
            onCrash: runs => this.options.onCrash(session, runs),
            onFound: run => this.options.onFound(session, run),
            onStandstill: (run, percent) => this.options.onStandstill(session, run, percent),
            onFreeChange: () => this.index.update(session),
            onRemoved: () => this.remove(session),
        });
        const record = new WorkerRecord(this.options.clock);
        record.setColdFor(announcement.coldForMs ?? 0);
        this.workers.set(announcement.id, { session, record, speed: new WorkerSpeed() });
        this.index.add(session);
    }

    private remove(session: WorkerSession): void {
        if (this.workers.get(session.id)?.session === session) {
            this.workers.delete(session.id);
            this.index.remove(session);
            this.options.logger.info("worker removed", { worker: session.id });
        }
    }
}
