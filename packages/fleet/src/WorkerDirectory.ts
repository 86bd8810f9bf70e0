/** The newest announcement of each worker, independent of the source and order in which announcements arrive. */

import type { WorkerAnnouncement, WorkerId } from "@anvilmux/dispatch";

/**
 * Number of workers above which the worker in state `left` with the oldest announcement is removed. Such workers are
 * kept until then, so that a late announcement does not add them again.
 */
const maximumWorkers = 10_000;

export class WorkerDirectory {
    private readonly workers = new Map<WorkerId, WorkerAnnouncement>();

    getAll(): readonly WorkerAnnouncement[] {
        return [...this.workers.values()];
    }

    /** Records an announcement; true when it is newer than the known one and its content differs. */
    record(announcement: WorkerAnnouncement): boolean {
        const present = this.workers.get(announcement.id);
        if (present && !isNewer(announcement, present)) {
            return false;
        }
        this.workers.delete(announcement.id);
        this.workers.set(announcement.id, announcement);
        this.removeLeftWorker();
        return !present || !hasSameContent(announcement, present);
    }

    /** Marks a worker as left; undefined when it is unknown or already marked. */
    markLeft(id: WorkerId): WorkerAnnouncement | undefined {
        const present = this.workers.get(id);
        if (!present || present.state === "left") {
            return undefined;
        }
        const left: WorkerAnnouncement = { ...present, state: "left" };
        this.workers.set(id, left);
        return left;
    }

    private removeLeftWorker(): void {
        if (this.workers.size <= maximumWorkers) {
            return;
        }
        for (const worker of this.workers.values()) {
            if (worker.state === "left") {
                this.workers.delete(worker.id);
                return;
            }
        }
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
