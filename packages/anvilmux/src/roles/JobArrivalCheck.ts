/**
 * Decides whether a job that arrives at an entry is refused at once, before anything is created for it: a wide one that
 * cannot be done in time, or for which the memory for jobs does not suffice.
 */

import type { ZoneId } from "@anvilmux/common";
import { cannotBeDoneInTime, getRequestBytes, holdUnlimited, isWide } from "@anvilmux/dispatch";
import type { HoldMemory, JobOutline, WorkerAnnouncement } from "@anvilmux/dispatch";
import type { ZoneOwner } from "@anvilmux/fleet";

export interface JobArrivalCheckOptions {
    readonly zone: ZoneId;
    /** The workers of this zone. */
    readonly getWorkers: () => readonly WorkerAnnouncement[];
    readonly holdMemory?: HoldMemory | undefined;
}

/** Zones that are remembered; many times those of the largest deployment. */
const maximumZones = 1_024;

export class JobArrivalCheck {
    /** Zones whose workers may take part in a job. */
    private readonly zones: Set<string>;

    constructor(private readonly options: JobArrivalCheckOptions) {
        this.zones = new Set<string>([options.zone]);
    }

    recordOwners(owners: readonly ZoneOwner[]): void {
        for (const { member } of owners) {
            if (this.zones.size < maximumZones) {
                this.zones.add(member.zone);
            }
        }
    }

    /** Why the job is refused; undefined for one that is to be accepted. */
    findRefusal(outline: JobOutline): string | undefined {
        if (!isWide(outline)) {
            return undefined;
        }
        const { getWorkers, holdMemory = holdUnlimited } = this.options;
        const millicores = getServiceMillicores(getWorkers(), outline.service);
        if (cannotBeDoneInTime(outline, millicores, this.zones.size)) {
            return "its tasks cannot be done before its deadline";
        }
        // Only asked for here; it is held once the job is accepted.
        const release = holdMemory(getRequestBytes(outline));
        release?.();
        return release ? undefined : "the memory for jobs is used up";
    }
}

/** Processors of the workers of a service that have not left. */
const getServiceMillicores = (workers: readonly WorkerAnnouncement[], service: string): number =>
    workers.reduce(
        (sum, worker) => sum + (worker.service === service && worker.state !== "left" ? worker.room.millicores : 0),
        0,
    );
