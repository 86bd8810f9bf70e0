/**
 * A drain of the owner's zone: while it lasts, the owner's workers get no tasks, waiting jobs are forwarded to other
 * zones, and a job that no zone can take is refused. After a restore the workers return gradually.
 */

import type { Milliseconds } from "@anvilmux/common";
import { restoreReturnMs } from "./constants";
import { getReturnDelays } from "./gradualReturn";
import { RecentRoom } from "./RecentRoom";
import type { ScheduledTask } from "./ScheduledJob";
import type { SchedulerLogContext } from "./schedulerLog";
import type { RemoteScheduler, WorkerAnnouncement, WorkerId } from "./types";

/** Reason that refusals give while the zone is drained. */
const drainedReason = "the zone is drained";

export interface ZoneDrainOptions extends SchedulerLogContext {
    readonly getRemoteSchedulers: () => readonly RemoteScheduler[];
}

export class ZoneDrain {
    /** Room in other zones while this one is drained; undefined otherwise. */
    private room: RecentRoom | undefined;
    /** When each worker is used again after the last restore. */
    private returnTimes: ReadonlyMap<WorkerId, Milliseconds> = new Map();
    private allReturnedAt: Milliseconds = 0;
    private readonly blockedTasks = new WeakSet<ScheduledTask>();

    constructor(private readonly options: ZoneDrainOptions) {}

    get isDrained(): boolean {
        return this.room !== undefined;
    }

    /** The reason of refusals while the zone is drained; undefined otherwise. */
    get refusalReason(): string | undefined {
        return this.isDrained ? drainedReason : undefined;
    }

    /** `elapsedMs`: time since the zone was restored, for an owner that begins after it. */
    set(isDrained: boolean, workers: readonly WorkerAnnouncement[], elapsedMs?: Milliseconds): void {
        const { clock, logger } = this.options;
        if (isDrained === this.isDrained && elapsedMs === undefined) {
            return;
        }
        this.room = isDrained ? new RecentRoom(clock) : undefined;
        const restoredAt = clock.now() - (elapsedMs ?? 0);
        const delays = isDrained ? [] : [...getReturnDelays(workers)];
        this.returnTimes = new Map(delays.map(([id, delay]) => [id, restoredAt + delay]));
        this.allReturnedAt = restoredAt + restoreReturnMs;
        logger.info(isDrained ? "workers of the drained zone get no tasks" : "workers of the restored zone return", {
            workers: workers.length,
            sinceRestoreMs: elapsedMs === undefined ? undefined : Math.round(elapsedMs),
        });
    }

    /** False for a worker that gets no tasks because of the drain or of a restore before its return. */
    isInUse(id: WorkerId): boolean {
        if (this.isDrained || this.returnTimes.size === 0) {
            return !this.isDrained;
        }
        const now = this.options.clock.now();
        if (now >= this.allReturnedAt) {
            // Placement asks for each worker that it looks at, so the usual case stays without a look-up.
            this.returnTimes = new Map();
        }
        return now >= (this.returnTimes.get(id) ?? -Infinity);
    }

    /** Records the room that other zones report; to be called at short intervals while the zone is drained. */
    recordRoom(): void {
        this.room?.record(this.options.getRemoteSchedulers().map(({ free }) => free));
    }

    /**
     * True when the zone is drained and no other zone had room for any of the tasks lately: waiting would rarely help,
     * and a caller that is refused may go elsewhere.
     */
    hasNoRoom(service: string, tasks: readonly ScheduledTask[]): boolean {
        const { room } = this;
        return room !== undefined && !tasks.some(({ request }) => room.had(service, request.millicores));
    }

    /** Counts tasks that would have been placed here, each once. */
    countBlocked(tasks: readonly ScheduledTask[]): void {
        const blocked = tasks.filter(task => task.state === "waiting" && !this.blockedTasks.has(task));
        blocked.forEach(task => this.blockedTasks.add(task));
        if (blocked.length > 0) {
            this.options.metrics.count("anvilmux_drain_blocked_placements_total", {}, blocked.length);
        }
    }
}
