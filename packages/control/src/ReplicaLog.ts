/** A replica's log with the state derived from it: the group configuration and the state machine. */

import { newDeferred } from "@anvilmux/common";
import type { Command, CommandResult, ControlSnapshot, GroupConfiguration, LogEntry } from "@anvilmux/protocol";
import { CommandSchema, ControlSnapshotSchema, GroupConfigurationSchema } from "@anvilmux/protocol";
import { create, fromBinary } from "@bufbuild/protobuf";
import {
    bytesBetweenSnapshots,
    bytesKeptOnCompaction,
    entriesBetweenSnapshots,
    entriesKeptOnCompaction,
} from "./constants";
import type { ControlState } from "./ControlState";
import { ControlError } from "./errors";
import type { ReplicaStorage } from "./ReplicaStorage";

interface GroupVersion {
    readonly index: bigint;
    readonly group: GroupConfiguration;
}

/** Called for each entry once it is applied. */
export type AppliedListener = (entry: LogEntry, result: CommandResult) => void;

export class ReplicaLog {
    private groupVersions: GroupVersion[] = [];
    private committed: bigint;
    private applied: bigint;
    /** Size of the commands applied since the last snapshot. */
    private appliedBytes = 0;
    private recovered = false;
    private readonly recovery = newDeferred<void>();

    constructor(private readonly storage: ReplicaStorage, private readonly state: ControlState) {
        const { snapshot } = storage;
        this.applied = snapshot?.lastIndex ?? 0n;
        this.committed = this.applied;
        if (snapshot) {
            state.restore(snapshot);
            this.recordGroup(snapshot.lastIndex, snapshot.group);
        }
        const { log } = storage;
        for (let index = log.firstIndex; index <= log.lastIndex; index++) {
            this.recordGroupOf(log.getEntry(index)!);
        }
    }

    get commitIndex(): bigint {
        return this.committed;
    }

    get appliedIndex(): bigint {
        return this.applied;
    }

    /** The newest configuration in the log, committed or not. */
    get group(): GroupConfiguration {
        return this.groupVersions.at(-1)?.group ?? create(GroupConfigurationSchema);
    }

    /** Index of the entry that holds `group`. */
    get groupIndex(): bigint {
        return this.groupVersions.at(-1)?.index ?? 0n;
    }

    /** True once `checkRecovered` has found that all committed commands are applied. */
    get isRecovered(): boolean {
        return this.recovered;
    }

    untilRecovered(): Promise<void> {
        return this.recovery.promise;
    }

    /**
     * Checks whether all is applied that the leader of `term`, the current one, has committed. A leader that has
     * committed an entry of its term has committed all that earlier leaders had.
     */
    checkRecovered(leaderCommitIndex: bigint, term: bigint): void {
        if (this.applied >= leaderCommitIndex && this.storage.log.getTerm(this.applied) === term) {
            this.recovered = true;
            this.recovery.resolve();
        }
    }

    truncateAndAppend(entries: readonly LogEntry[]): void {
        const first = entries[0];
        if (!first) {
            return;
        }
        if (first.index <= this.committed) {
            throw new ControlError("committed-entry", `entry ${first.index} is committed and cannot be replaced`);
        }
        this.groupVersions = this.groupVersions.filter(version => version.index < first.index);
        this.storage.log.truncateAndAppend(entries);
        entries.forEach(entry => this.recordGroupOf(entry));
    }

    /** Raises the commit index and applies the entries up to it. */
    commit(index: bigint, onApplied: AppliedListener): void {
        if (index <= this.committed) {
            return;
        }
        this.committed = index;
        while (this.applied < this.committed) {
            const entry = this.storage.log.getEntry(this.applied + 1n)!;
            const result = this.state.apply(decodeCommand(entry), entry.index);
            this.applied = entry.index;
            this.appliedBytes += entry.command.length;
            onApplied(entry, result);
        }
    }

    /** True when so many entries, or entries of such a size, were applied since the last snapshot. */
    needsSnapshot(): boolean {
        return this.appliedBytes >= bytesBetweenSnapshots
            || this.applied - (this.storage.snapshot?.lastIndex ?? 0n) >= BigInt(entriesBetweenSnapshots);
    }

    /**
     * Saves a snapshot of the applied state and drops the entries it covers except for at most the last `keptEntries`.
     */
    async takeSnapshot(keptEntries = entriesKeptOnCompaction): Promise<void> {
        const lastIndex = this.applied;
        const covered = this.groupVersions.filter(version => version.index <= lastIndex);
        const snapshot = create(ControlSnapshotSchema, {
            ...this.state.toSnapshot(),
            lastIndex,
            lastTerm: this.storage.log.getTerm(lastIndex)!,
            group: covered.at(-1)?.group,
        });
        await this.storage.saveSnapshot(snapshot);
        this.appliedBytes = 0;
        await this.storage.log.compact(this.storage.log.getIndexBefore(lastIndex, keptEntries, bytesKeptOnCompaction));
    }

    /** Replaces log and state by a snapshot sent by the leader or of a newly formed group. */
    async install(snapshot: ControlSnapshot): Promise<void> {
        await this.storage.saveSnapshot(snapshot);
        await this.storage.log.reset(snapshot.lastIndex, snapshot.lastTerm);
        this.state.restore(snapshot);
        this.applied = snapshot.lastIndex;
        this.committed = snapshot.lastIndex;
        this.appliedBytes = 0;
        this.groupVersions = [];
        this.recordGroup(snapshot.lastIndex, snapshot.group);
    }

    private recordGroupOf(entry: LogEntry): void {
        const command = decodeCommand(entry);
        if (command.kind.case === "group") {
            this.recordGroup(entry.index, command.kind.value);
        }
    }

    private recordGroup(index: bigint, group: GroupConfiguration | undefined): void {
        if (group) {
            this.groupVersions.push({ index, group });
        }
    }
}

const decodeCommand = (entry: LogEntry): Command => fromBinary(CommandSchema, entry.command);
