/**
 * The replicated table of members: each instance writes only its own records, each with an increasing version; others
 * copy the records they lack. Zone-scoped records are not sent to other zones. Liveness is derived from heartbeats,
 * timed on this instance's own clock.
 */

import type { Clock, Milliseconds } from "@anvilmux/common";
import type { MemberDigest, MemberRecord, MemberState } from "@anvilmux/protocol";
import { MemberDigestSchema, MemberRecordSchema, MemberStateSchema } from "@anvilmux/protocol";
import { create } from "@bufbuild/protobuf";
import { deadAfterMs, memberRetentionMs, suspectAfterMs } from "./constants";
import type { Liveness } from "./types";

interface Row {
    incarnation: bigint;
    heartbeat: bigint;
    heartbeatAt: Milliseconds;
    readonly records: Map<string, MemberRecord>;
}

/** Called after records of a member changed. */
export type TableListener = (memberId: string, changed: readonly MemberRecord[]) => void;

export class MemberTable {
    private readonly rows = new Map<string, Row>();
    private nextVersion = 1n;
    private nextZoneVersion = 1n;

    constructor(
        readonly selfId: string,
        incarnation: number,
        private readonly clock: Clock,
        private readonly onChange: TableListener,
    ) {
        this.rows.set(selfId, newRow(BigInt(incarnation), clock.now()));
    }

    /** Writes one of this instance's own records; `undefined` removes it. */
    write(key: string, value: string | undefined, zoneScoped: boolean): void {
        const record = create(MemberRecordSchema, {
            key,
            value: value ?? "",
            tombstone: value === undefined,
            version: zoneScoped ? this.nextZoneVersion++ : this.nextVersion++,
            zoneScoped,
        });
        this.self.records.set(key, record);
        this.onChange(this.selfId, [record]);
    }

    /** Increments this instance's heartbeat counter, which shows other members that it is running. */
    advanceHeartbeat(): void {
        this.self.heartbeat += 1n;
        this.self.heartbeatAt = this.clock.now();
    }

    getMemberIds(): readonly string[] {
        return [...this.rows.keys()];
    }

    getRecord(memberId: string, key: string): string | undefined {
        const record = this.rows.get(memberId)?.records.get(key);
        return record && !record.tombstone ? record.value : undefined;
    }

    /** A member's live records whose key starts with `prefix`. */
    getRecords(memberId: string, prefix: string): readonly MemberRecord[] {
        const records = this.rows.get(memberId)?.records.values() ?? [];
        return [...records].filter(record => !record.tombstone && record.key.startsWith(prefix));
    }

    getIncarnation(memberId: string): number {
        return Number(this.rows.get(memberId)?.incarnation ?? 0n);
    }

    /** Time since the member's last new heartbeat was received; 0 for this instance, infinite for unknown members. */
    getHeartbeatAge(memberId: string): Milliseconds {
        const row = this.rows.get(memberId);
        return row && memberId !== this.selfId ? this.clock.now() - row.heartbeatAt : row ? 0 : Infinity;
    }

    /** `timeoutFactor` multiplies the heartbeat ages at which a member becomes suspect and dead. */
    getLiveness(memberId: string, timeoutFactor = 1): Liveness {
        const scaledHeartbeatAge = this.getHeartbeatAge(memberId) / timeoutFactor;
        if (scaledHeartbeatAge < suspectAfterMs) {
            return "alive";
        }
        return scaledHeartbeatAge < deadAfterMs ? "suspect" : "dead";
    }

    /** Removes members whose heartbeat is older than the retention time. */
    removeUnresponsive(): void {
        for (const memberId of this.getMemberIds()) {
            if (this.getHeartbeatAge(memberId) > memberRetentionMs) {
                this.rows.delete(memberId);
            }
        }
    }

    getDigest(memberId: string): MemberDigest {
        const row = this.rows.get(memberId);
        return create(MemberDigestSchema, {
            instanceId: memberId,
            incarnation: row?.incarnation ?? 0n,
            heartbeat: row?.heartbeat ?? 0n,
            version: row ? getHighestVersion(row, false) : 0n,
            zoneVersion: row ? getHighestVersion(row, true) : 0n,
        });
    }

    /** Records the heartbeat in a digest; true when the sender has newer records of that member than this table. */
    applyDigest(digest: MemberDigest, acrossZones: boolean): boolean {
        const row = this.rows.get(digest.instanceId);
        if (!row || digest.incarnation > row.incarnation) {
            return digest.instanceId !== this.selfId;
        }
        if (digest.incarnation < row.incarnation) {
            return false;
        }
        this.recordHeartbeat(digest.instanceId, row, digest.heartbeat);
        return digest.version > getHighestVersion(row, false)
            || (!acrossZones && digest.zoneVersion > getHighestVersion(row, true));
    }

    /** The records that the sender of `digest` lacks; undefined when it lacks none. */
    getStateDelta(digest: MemberDigest, acrossZones: boolean): MemberState | undefined {
        const row = this.rows.get(digest.instanceId);
        if (!row || row.incarnation < digest.incarnation) {
            return undefined;
        }
        const isLaterIncarnation = row.incarnation > digest.incarnation;
        const records = [...row.records.values()].filter(record => {
            const known = record.zoneScoped ? digest.zoneVersion : digest.version;
            return (isLaterIncarnation || record.version > known) && !(acrossZones && record.zoneScoped);
        });
        if (records.length === 0) {
            return undefined;
        }
        records.sort((left, right) => Number(left.version - right.version));
        return create(MemberStateSchema, {
            instanceId: digest.instanceId,
            incarnation: row.incarnation,
            heartbeat: row.heartbeat,
            records,
        });
    }

    /** Merges records received from another instance. Records of this instance itself are ignored. */
    merge(state: MemberState): void {
        if (state.instanceId === this.selfId || state.instanceId === "") {
            return;
        }
        let row = this.rows.get(state.instanceId);
        if (row && state.incarnation < row.incarnation) {
            return;
        }
        if (!row || state.incarnation > row.incarnation) {
            row = newRow(state.incarnation, this.clock.now());
            this.rows.set(state.instanceId, row);
        }
        this.recordHeartbeat(state.instanceId, row, state.heartbeat);
        const changed = state.records.filter(record => record.version > (row.records.get(record.key)?.version ?? 0n));
        changed.forEach(record => row.records.set(record.key, record));
        if (changed.length > 0) {
            this.onChange(state.instanceId, changed);
        }
    }

    private get self(): Row {
        return this.rows.get(this.selfId)!;
    }

    private recordHeartbeat(memberId: string, row: Row, heartbeat: bigint): void {
        if (memberId !== this.selfId && heartbeat > row.heartbeat) {
            row.heartbeat = heartbeat;
            row.heartbeatAt = this.clock.now();
        }
    }
}

const newRow = (incarnation: bigint, now: Milliseconds): Row => ({
    incarnation,
    heartbeat: 0n,
    heartbeatAt: now,
    records: new Map(),
});

/** Highest version among the zone-scoped records, or among the others. */
const getHighestVersion = (row: Row, zoneScoped: boolean): bigint => {
    let version = 0n;
    for (const record of row.records.values()) {
        if (record.version > version && record.zoneScoped === zoneScoped) {
            version = record.version;
        }
    }
    return version;
};
