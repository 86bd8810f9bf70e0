/** The newest announcement of each worker, from whichever source it came. */

import type { WorkerAnnouncement, WorkerId } from "@anvilmux/dispatch";

/** Left workers are remembered, so that a late announcement does not bring them back. */
const maximumLeftWorkers = 10_000;

export class WorkerDirectory {
    private readonly workers = new Map<WorkerId, WorkerAnnouncement>();

    getAll(): readonly WorkerAnnouncement[] {
        return [...this.workers.values()];
    }

    /** True when the announcement is newer than what is known and says something else. */
    note(announcement: WorkerAnnouncement): boolean {
        const present = this.workers.get(announcement.id);
        if (present && !isNewer(announcement, present)) {
            return false;
        }
        this.workers.delete(announcement.id);
        this.workers.set(announcement.id, announcement);
        this.forgetLeft();
        return !present || !saysTheSame(announcement, present);
    }

    /** Takes note that a worker has left. */
    noteLeft(id: WorkerId): WorkerAnnouncement | undefined {
        const present = this.workers.get(id);
        if (!present || present.state === "left") {
            return undefined;
        }
        const left: WorkerAnnouncement = { ...present, state: "left" };
        this.workers.set(id, left);
        return left;
    }

    private forgetLeft(): void {
        if (this.workers.size <= maximumLeftWorkers) {
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

const isNewer = (candidate: WorkerAnnouncement, present: WorkerAnnouncement): boolean =>
    candidate.incarnation > present.incarnation
    || (candidate.incarnation === present.incarnation
        && (candidate.sequence > present.sequence
            || (candidate.sequence === present.sequence && candidate.state !== present.state)));

const saysTheSame = (left: WorkerAnnouncement, right: WorkerAnnouncement): boolean =>
    left.incarnation === right.incarnation
    && left.address === right.address
    && left.state === right.state
    && left.service === right.service
    && left.zone === right.zone
    && left.room.millicores === right.room.millicores
    && left.room.memoryMebibytes === right.room.memoryMebibytes
    && left.room.accelerators === right.room.accelerators;
