/**
 * Outlier ejection. An upstream that fails everything, or is many times slower than its peers, is taken out of use
 * and tried again with one request after a pause that doubles. A share of the upstreams stays in use regardless.
 */

import type { Clock, Milliseconds } from "@anvilmux/common";
import {
    consecutiveFailuresToEject,
    failureShareToEject,
    failureSmoothing,
    firstEjectionMs,
    longestEjectionMs,
    minimumHealthyShare,
    samplesBeforeSlowness,
    slownessToEject,
} from "./constants";

export type HealthState = "healthy" | "ejected" | "probing";

interface UpstreamRecord {
    state: HealthState;
    failuresInARow: number;
    failureShare: number;
    /** Smoothed run time over the expected one of the work kind. */
    slowness: number;
    samples: number;
    ejections: number;
    retryAt: Milliseconds;
}

const newRecord = (): UpstreamRecord => ({
    state: "healthy",
    failuresInARow: 0,
    failureShare: 0,
    slowness: 1,
    samples: 0,
    ejections: 0,
    retryAt: 0,
});

export class UpstreamHealth {
    private readonly records = new Map<string, UpstreamRecord>();

    constructor(private readonly clock: Clock) {}

    /** Forgets upstreams that are gone. */
    keepOnly(ids: ReadonlySet<string>): void {
        for (const id of this.records.keys()) {
            if (!ids.has(id)) {
                this.records.delete(id);
            }
        }
    }

    getState(id: string): HealthState {
        return this.getRecord(id).state;
    }

    /** True when the upstream may get a request now. An ejected one may get one probe after its pause. */
    isUsable(id: string): boolean {
        const record = this.getRecord(id);
        return record.state === "healthy" || (record.state === "ejected" && this.clock.now() >= record.retryAt);
    }

    /** Notes that a request goes to the upstream: the probe of an ejected one keeps others away until it ended. */
    noteGranted(id: string): void {
        const record = this.getRecord(id);
        if (record.state === "ejected") {
            record.state = "probing";
        }
    }

    /** Notes that a granted request never reached the upstream. */
    noteUnused(id: string): void {
        const record = this.getRecord(id);
        if (record.state === "probing") {
            record.state = "ejected";
        }
    }

    noteFailure(id: string): void {
        const record = this.getRecord(id);
        record.samples += 1;
        record.failuresInARow += 1;
        record.failureShare += failureSmoothing * (1 - record.failureShare);
        const fails = record.failuresInARow >= consecutiveFailuresToEject || record.failureShare > failureShareToEject;
        if (record.state === "probing" || (fails && this.mayEject())) {
            this.eject(record);
        }
    }

    /** Notes an answer. `slowness` is its run time over the expected run time. */
    noteAnswer(id: string, slowness: number): void {
        const record = this.getRecord(id);
        record.samples += 1;
        record.failuresInARow = 0;
        record.failureShare -= failureSmoothing * record.failureShare;
        record.slowness += failureSmoothing * (slowness - record.slowness);
        if (record.state === "probing") {
            record.state = "healthy";
            record.failureShare = 0;
            record.slowness = 1;
            record.samples = 0;
            return;
        }
        if (record.samples >= samplesBeforeSlowness && this.isSlow(record) && this.mayEject()) {
            this.eject(record);
        }
    }

    private isSlow(record: UpstreamRecord): boolean {
        const all = [...this.records.values()].map(other => other.slowness).sort((left, right) => left - right);
        return record.slowness > slownessToEject * Math.max(1, all[Math.floor(all.length / 2)]!);
    }

    private mayEject(): boolean {
        const healthy = [...this.records.values()].filter(record => record.state === "healthy").length;
        return healthy - 1 >= this.records.size * minimumHealthyShare;
    }

    private eject(record: UpstreamRecord): void {
        const pause = Math.min(longestEjectionMs, firstEjectionMs * 2 ** record.ejections);
        record.ejections += 1;
        record.state = "ejected";
        record.retryAt = this.clock.now() + pause;
    }

    private getRecord(id: string): UpstreamRecord {
        let record = this.records.get(id);
        if (!record) {
            record = newRecord();
            this.records.set(id, record);
        }
        return record;
    }
}
