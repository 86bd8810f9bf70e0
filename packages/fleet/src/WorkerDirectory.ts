/** The newest announcement of each worker, independent of the source and order in which announcements arrive. */

import { newSystemClock } from "@anvilmux/common";
import type { Clock, Milliseconds } from "@anvilmux/common";
import type { WorkerAnnouncement, WorkerId } from "@anvilmux/dispatch";
import { defaultWorkerLimits, findDispensableWorker, WorkerPlaces } from "./WorkerPlaces";
import type { WorkerLimits } from "./WorkerPlaces";

/**
 * A smaller change of the time at which a worker is no longer cold is not reported, as each heartbeat states it anew.
 */
const coldToleranceMs = 1_000;

interface KnownWorker {
    readonly announcement: WorkerAnnouncement;
    readonly heardAt: Milliseconds;
}

export interface WorkerDirectoryOptions {
    readonly limits?: WorkerLimits;
    /** Where every announcement of a worker arrives: one that is silent makes room for others. */
    readonly hearsAll?: boolean;
    /** Called for a worker that was forgotten in favour of a new one. */
    readonly onForgotten?: (worker: WorkerAnnouncement) => void;
}

export class WorkerDirectory {
    /** Those heard of longest ago first. Workers that left are kept, so that a late announcement does not add them. */
    private readonly workers = new Map<WorkerId, KnownWorker>();
    private readonly limits: WorkerLimits;
    private readonly places: WorkerPlaces;
    /** When each worker that was cold is no longer, as last reported as a change. */
    private readonly coldUntil = new Map<WorkerId, Milliseconds>();

    constructor(
        private readonly clock: Pick<Clock, "now"> = newSystemClock(),
        private readonly options: WorkerDirectoryOptions = {},
    ) {
        this.limits = options.limits ?? defaultWorkerLimits;
        this.places = new WorkerPlaces(this.limits);
    }

    /** The latest announcement of each worker, with the time for which it is still cold. */
    getAll(): readonly WorkerAnnouncement[] {
        return [...this.workers.values()].map(({ announcement }) => this.toPresent(announcement));
    }

    /** False for a worker that was refused, as too many others are known. */
    has(id: WorkerId): boolean {
        return this.workers.has(id);
    }

    /** Records an announcement; true when it is newer than the known one and its content differs. */
    record(announcement: WorkerAnnouncement): boolean {
        const present = this.workers.get(announcement.id)?.announcement;
        if (present && !isNewer(announcement, present)) {
            return false;
        }
        if (!present && !this.makeRoom(announcement.zone)) {
            return false;
        }
        this.set(announcement);
        const isChanged = !present || !hasSameContent(announcement, present) || this.isColdChanged(announcement);
        if (isChanged) {
            this.recordCold(announcement);
        }
        return isChanged;
    }

    /** Marks a worker as left; undefined when it is unknown or already marked. */
    markLeft(id: WorkerId): WorkerAnnouncement | undefined {
        const present = this.workers.get(id)?.announcement;
        if (!present || present.state === "left") {
            return undefined;
        }
        const left: WorkerAnnouncement = { ...this.toPresent(present), state: "left" };
        this.set(left);
        return left;
    }

    /** True when the worker became cold, or is cold for longer or less long than was reported. */
    private isColdChanged({ id, coldForMs = 0 }: WorkerAnnouncement): boolean {
        const now = this.clock.now();
        const until = this.coldUntil.get(id);
        return coldForMs > 0
            ? until === undefined || Math.abs(now + coldForMs - until) > coldToleranceMs
            : until !== undefined && until - now > coldToleranceMs;
    }

    private recordCold({ id, coldForMs = 0 }: WorkerAnnouncement): void {
        if (coldForMs > 0) {
            this.coldUntil.set(id, this.clock.now() + coldForMs);
        }
        else {
            this.coldUntil.delete(id);
        }
    }

    private toPresent(worker: WorkerAnnouncement): WorkerAnnouncement {
        const until = this.coldUntil.get(worker.id);
        if (until === undefined && worker.coldForMs === undefined) {
            return worker;
        }
        const remainingMs = (until ?? 0) - this.clock.now();
        return { ...worker, coldForMs: Math.max(0, remainingMs) };
    }

    private set(announcement: WorkerAnnouncement): void {
        this.remove(announcement.id);
        this.workers.set(announcement.id, { announcement, heardAt: this.clock.now() });
        this.places.add(announcement);
    }

    private remove(id: WorkerId): void {
        const present = this.workers.get(id)?.announcement;
        if (present) {
            this.workers.delete(id);
            this.places.remove(present);
        }
    }

    /** False when no known worker gives its place to a new one of the zone. */
    private makeRoom(zone: string): boolean {
        const isZoneFull = this.places.isZoneFull(zone);
        if (!isZoneFull && this.workers.size < this.limits.total) {
            return true;
        }
        const now = this.options.hearsAll ? this.clock.now() : -Infinity;
        const dispensable = findDispensableWorker(this.workers.values(), now, isZoneFull ? zone : undefined);
        if (!dispensable) {
            return false;
        }
        this.remove(dispensable.id);
        this.coldUntil.delete(dispensable.id);
        this.options.onForgotten?.(dispensable);
        return true;
    }
}

/** A worker that left keeps the sequence number of its last announcement, which may arrive once more after that. */
const isNewer = (candidate: WorkerAnnouncement, present: WorkerAnnouncement): boolean =>
    candidate.incarnation > present.incarnation
    || (candidate.incarnation === present.incarnation
        && (candidate.sequence > present.sequence
            || (candidate.sequence === present.sequence && candidate.state === "left" && present.state !== "left")));

const hasSameContent = (left: WorkerAnnouncement, right: WorkerAnnouncement): boolean =>
    left.incarnation === right.incarnation
    && left.address === right.address
    && left.state === right.state
    && left.service === right.service
    && left.zone === right.zone
    && left.room.millicores === right.room.millicores
    && left.room.memoryMebibytes === right.room.memoryMebibytes
    && left.room.accelerators === right.room.accelerators;
