/**
 * Workers that left shortly before. Control takes a worker off its list when it says that it leaves, or when an earlier
 * process of it did; runs of it may go on meanwhile.
 */

import type { Clock, Milliseconds } from "@anvilmux/common";
import { takeoverUncertaintyMs } from "@anvilmux/dispatch";
import type { WorkerAnnouncement, WorkerId } from "@anvilmux/dispatch";

interface DepartedWorker {
    readonly announcement: WorkerAnnouncement;
    readonly leftAt: Milliseconds;
}

export class DepartedWorkers {
    private readonly present = new Set<WorkerId>();
    private departed: readonly DepartedWorker[] = [];

    constructor(private readonly clock: Clock) {}

    record(announcement: WorkerAnnouncement): void {
        const { id, state } = announcement;
        this.departed = this.getCurrent().filter(worker => worker.announcement.id !== id);
        if (state !== "left") {
            this.present.add(id);
        }
        else if (this.present.delete(id)) {
            this.departed = [...this.departed, { announcement, leftAt: this.clock.now() }];
        }
    }

    /** Those on which a former owner's runs may go on. */
    getAll(): readonly WorkerAnnouncement[] {
        return this.getCurrent().map(({ announcement }) => announcement);
    }

    private getCurrent(): readonly DepartedWorker[] {
        const since = this.clock.now() - takeoverUncertaintyMs;
        return this.departed.filter(({ leftAt }) => leftAt >= since);
    }
}
