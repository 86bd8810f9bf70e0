/**
 * Outlier ejection. An upstream whose requests keep failing, or which is many times slower than its peers, is taken
 * out of rotation and probed with a single request after a pause that doubles with each ejection. A healthy
 * upstream is not ejected when too small a share of the service's upstreams would remain healthy.
 */

import type { Clock, Milliseconds } from "@anvilmux/common";
import {
    consecutiveFailuresToEject,
    failureShareToEject,
    firstEjectionMs,
    healthSmoothing,
    longestEjectionMs,
    minimumHealthyShare,
    samplesBeforeSlowness,
    slownessToEject,
} from "./constants";

export type HealthState = "healthy" | "ejected" | "probing";

interface UpstreamRecord {
    state: HealthState;
    consecutiveFailures: number;
    failureShare: number;
    /** Smoothed ratio of run time to the expected run time of the work kind. */
    slowness: number;
    samples: number;
    ejections: number;
    retryAt: Milliseconds;
}

const newRecord = (): UpstreamRecord => ({
    state: "healthy",
    consecutiveFailures: 0,
    failureShare: 0,
    slowness: 1,
    samples: 0,
    ejections: 0,
    retryAt: 0,
});

export class UpstreamHealth {
    private readonly records = new Map<string, UpstreamRecord>();

    constructor(private readonly clock: Clock) {}

    /** Removes the records of upstreams that are no longer announced. */
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

    /** True when the upstream may receive a request now. An ejected one may receive one probe after its pause. */
    isUsable(id: string): boolean {
        const record = this.getRecord(id);
        return record.state === "healthy" || (record.state === "ejected" && this.clock.now() >= record.retryAt);
    }

    /** Marks a slot as granted. At an ejected upstream it is the probe, which blocks other requests until it ends. */
    markGranted(id: string): void {
        const record = this.getRecord(id);
        if (record.state === "ejected") {
            record.state = "probing";
        }
    }

    /** Marks a grant as unused or aborted by its caller. It does not count as a sample, and a probe is repeated. */
    markUnused(id: string): void {
        const record = this.getRecord(id);
        if (record.state === "probing") {
            record.state = "ejected";
        }
    }

    recordFailure(id: string): void {
        const record = this.getRecord(id);
        record.samples += 1;
        record.consecutiveFailures += 1;
        record.failureShare += healthSmoothing * (1 - record.failureShare);
        const fails = record.consecutiveFailures >= consecutiveFailuresToEject
            || record.failureShare > failureShareToEject;
        if (record.state === "probing" || (fails && this.mayEject())) {
            this.eject(record);
        }
    }

    /** Records an answer other than a server error. `slowness` is the ratio of its run time to the expected one. */
    recordSuccess(id: string, slowness: number): void {
        const record = this.getRecord(id);
        record.samples += 1;
        record.consecutiveFailures = 0;
        record.failureShare -= healthSmoothing * record.failureShare;
        record.slowness += healthSmoothing * (slowness - record.slowness);
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
        const duration = Math.min(longestEjectionMs, firstEjectionMs * 2 ** record.ejections);
        record.ejections += 1;
        record.state = "ejected";
        record.retryAt = this.clock.now() + duration;
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
