/**
 * The part of the replicated state that tells which zones are drained: no further task is started on their workers.
 * Only a committed command changes it, so it survives the loss of power on all replicas.
 */

import type { CommandResult, ZoneDrainCommand, ZoneDrainRecord } from "@anvilmux/protocol";
import { CommandResultSchema, ZoneDrainRecordSchema } from "@anvilmux/protocol";
import { create } from "@bufbuild/protobuf";
import Emittery from "emittery";

export interface ZoneDrainEvents {
    /** A zone was drained or restored by an applied command or an installed snapshot. */
    readonly changed: { readonly index: bigint; };
}

export class ZoneDrainRecords {
    readonly events = new Emittery<ZoneDrainEvents>();
    private records: ReadonlyMap<string, ZoneDrainRecord> = new Map();

    /** Log index of the latest change of any zone; 0 before the first. */
    getIndex(): bigint {
        return this.getRecords().reduce((latest, { index }) => index > latest ? index : latest, 0n);
    }

    /** Names of the zones that are drained now. */
    getZones(): readonly string[] {
        return this.getRecords().filter(record => record.drained).map(record => record.zone);
    }

    /** Every zone that some command named, in the order of their names. */
    getRecords(): readonly ZoneDrainRecord[] {
        return [...this.records.values()];
    }

    getRecord(zone: string): ZoneDrainRecord | undefined {
        return this.records.get(zone);
    }

    /** The value that a command must carry as `knownIndex` if it is to follow all commands applied here. */
    getOrderIndex(zone: string): bigint {
        return this.records.get(zone)?.orderIndex ?? 0n;
    }

    /**
     * Applies one committed command. A command that repeats what is in force is accepted and records its index only, so
     * that a command which was delayed behind it is recognized.
     */
    apply(command: ZoneDrainCommand, index: bigint): CommandResult {
        const { zone, drained, knownIndex, wallMs, requestedBy } = command;
        const present = this.records.get(zone) ?? create(ZoneDrainRecordSchema, { zone });
        if (present.drained === drained) {
            this.setRecord(create(ZoneDrainRecordSchema, { ...present, orderIndex: index }));
            return create(CommandResultSchema, { accepted: true, index: present.index });
        }
        if (present.orderIndex > knownIndex) {
            return create(CommandResultSchema, {
                index,
                reason: "zone-changed",
                detail:
                    `zone "${zone}" was named by a command at index ${present.orderIndex}; the request knew ${knownIndex}`,
            });
        }
        this.setRecord(create(ZoneDrainRecordSchema, { zone, drained, index, wallMs, requestedBy, orderIndex: index }));
        void this.events.emit("changed", { index });
        return create(CommandResultSchema, { accepted: true, index });
    }

    restore(records: readonly ZoneDrainRecord[]): void {
        const before = this.getIndex();
        this.records = new Map(records.map(record => [record.zone, record]));
        const index = this.getIndex();
        if (index !== before) {
            void this.events.emit("changed", { index });
        }
    }

    /** Kept in the order of names, so that replicas with the same state have the same snapshot. */
    private setRecord(record: ZoneDrainRecord): void {
        const others = this.getRecords().filter(other => other.zone !== record.zone);
        const sorted = [...others, record].sort((left, right) => left.zone < right.zone ? -1 : 1);
        this.records = new Map(sorted.map(item => [item.zone, item]));
    }
}
