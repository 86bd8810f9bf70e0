/**
 * The control side of the connections to entries: sends each entry the other entries and the workers of its zone, the
 * owners of all zones and the active configuration. All state is in memory and rebuilt after a restart.
 */

import type { Address, Unsubscribe } from "@anvilmux/common";
import type { WorkerAnnouncement, WorkerId } from "@anvilmux/dispatch";
import type { ConnectionGuard } from "@anvilmux/intake";
import { closedByPeer, encodeMessage, LinkServer } from "@anvilmux/links";
import type { ChannelChecker, EncodedMessage, LinkConnection, LinkEnvironment, Session } from "@anvilmux/links";
import type { Metrics } from "@anvilmux/telemetry";
import { checkMessage } from "./checkMessages";
import { FormerOwners } from "./FormerOwners";
import type { HeardClaim } from "./FormerOwners";
import type { EntryMember, FromControl, ToControl } from "./messages";
import { WorkerDirectory } from "./WorkerDirectory";

/** The active configuration of this control instance. */
export interface ConfigurationSource {
    readonly getIndex: () => number;
    readonly getEnvelope: () => string;
}

/** The drained zones in the replicated state of this control instance, and the log index of their latest change. */
export interface DrainedZonesSource {
    /**
     * False while the replica has not caught up with the control group since its start. Its list may be out of date
     * then, so entries are sent none and keep the one that they have.
     */
    readonly isKnown: () => boolean;
    readonly getIndex: () => number;
    readonly getZones: () => readonly string[];
}

export interface ControlHubOptions {
    readonly host: string;
    readonly port: number;
    readonly checker: ChannelChecker;
    readonly environment: LinkEnvironment;
    readonly metrics: Metrics;
    /** Bounds the connections of entries; unlimited when absent. */
    readonly guard?: ConnectionGuard | undefined;
    /** Called for each entry that connects. */
    readonly onEntryConnected?: (member: EntryMember) => void;
    readonly configuration: ConfigurationSource;
    /** Absent where no zone can be drained. */
    readonly drainedZones?: DrainedZonesSource;
    /** Link addresses of the known control instances. */
    readonly getControlAddresses: () => readonly Address[];
}

/** Period of the checks for a changed list of control instances and for drained zones that were not announced. */
const changeCheckPeriodMs = 500;
/** Time in which the entries of a zone that connect or disconnect are announced to the others in one message. */
const memberBatchMs = 50;

interface EncodedConfiguration {
    readonly index: number;
    readonly message: EncodedMessage<FromControl>;
}

interface ConnectedEntry {
    readonly send: (message: FromControl) => void;
    readonly sendEncoded: (message: EncodedMessage<FromControl>) => void;
    member: EntryMember | undefined;
    /** Undefined while the entry claims no workers. */
    claim: HeardClaim | undefined;
}

export class ControlHub {
    private readonly entries = new Set<ConnectedEntry>();
    private readonly workers: WorkerDirectory;
    private readonly formerOwners: FormerOwners;
    private server: LinkServer<ToControl, FromControl> | undefined;
    private announcedAddresses = "";
    /** Index of the drained zones that were announced last. */
    private announcedDrains = 0;
    /** The configuration that was sent last, which most entries fetch at the same time. */
    private encoded: EncodedConfiguration | undefined;
    /** Zones whose members are announced at the end of the current batch. */
    private readonly changedZones = new Set<string>();
    private unsubscribe: Unsubscribe = () => undefined;
    private cancelMemberBatch: Unsubscribe = () => undefined;

    constructor(private readonly options: ControlHubOptions) {
        this.workers = new WorkerDirectory(options.environment.clock, {
            hearsAll: true,
            onForgotten: worker => this.handleForgotten(worker),
        });
        this.formerOwners = new FormerOwners(options.environment.clock);
        options.metrics.gauge("anvilmux_connected_entries", {}, () => this.entries.size);
    }

    async start(): Promise<void> {
        const { host, port, checker, environment, guard } = this.options;
        this.server = await LinkServer.listen<ToControl, FromControl>(environment, {
            host,
            port,
            checker,
            guard,
            accept: connection => this.accept(connection),
        });
        this.unsubscribe = environment.timers.every(changeCheckPeriodMs, () => {
            this.announceChangedAddresses();
            this.announceMissedDrains();
        });
    }

    /** Number of connected entries. */
    get entryCount(): number {
        return this.entries.size;
    }

    stop(): void {
        this.unsubscribe();
        this.server?.close();
        // Last, since closing the connections of entries begins a batch.
        this.cancelMemberBatch();
    }

    /**
     * Records a worker's announcement and forwards it to the entries of its zone when its content changed. False when
     * it is refused, as too many workers are known.
     */
    handleWorkerAnnouncement(announcement: WorkerAnnouncement): boolean {
        if (this.workers.record(announcement)) {
            this.logWorker(announcement);
            this.sendToZone(announcement.zone, { type: "workers", workers: [announcement] });
        }
        const isKnown = this.workers.has(announcement.id);
        if (!isKnown) {
            this.options.metrics.count("anvilmux_refused_workers_total");
        }
        return isKnown;
    }

    /** Tells the entries of its zone that a worker is gone that gave its place to another one. */
    private handleForgotten(worker: WorkerAnnouncement): void {
        if (worker.state !== "left") {
            this.options.environment.logger.warn("silent worker forgotten in favour of a new one", {
                worker: worker.id,
                workerZone: worker.zone,
            });
            this.sendToZone(worker.zone, { type: "workers", workers: [{ ...worker, state: "left" }] });
        }
    }

    handleWorkerLeft(id: WorkerId): void {
        const left = this.workers.markLeft(id);
        if (left) {
            this.logWorker(left);
            this.sendToZone(left.zone, { type: "workers", workers: [left] });
        }
    }

    /** Announces the index of the active configuration to all entries. */
    announceConfiguration(): void {
        const index = this.options.configuration.getIndex();
        this.entries.forEach(entry => entry.send({ type: "configuration-notice", index }));
    }

    /** Announces the drained zones to all entries. */
    announceDrainedZones(): void {
        const message = this.getDrainedZones();
        if (message) {
            this.announcedDrains = message.index;
            const encoded = encodeMessage<FromControl>(message);
            this.entries.forEach(entry => entry.sendEncoded(encoded));
        }
    }

    /**
     * A change that this instance learned of in another way than from the log, such as a snapshot, is announced here.
     */
    private announceMissedDrains(): void {
        const { drainedZones } = this.options;
        if (drainedZones?.isKnown() && drainedZones.getIndex() > this.announcedDrains) {
            this.announceDrainedZones();
        }
    }

    private getDrainedZones(): Extract<FromControl, { type: "drained-zones"; }> | undefined {
        const { drainedZones } = this.options;
        return drainedZones?.isKnown()
            ? { type: "drained-zones", index: drainedZones.getIndex(), zones: drainedZones.getZones() }
            : undefined;
    }

    private logWorker(announcement: WorkerAnnouncement): void {
        this.options.environment.logger.info("worker announced", {
            worker: announcement.id,
            state: announcement.state,
            address: announcement.address,
            workerZone: announcement.zone,
            sequence: announcement.sequence,
        });
    }

    private sendToZone(zone: string, message: FromControl): void {
        const encoded = encodeMessage(message);
        for (const entry of this.entries) {
            if (entry.member?.zone === zone) {
                entry.sendEncoded(encoded);
            }
        }
    }

    private accept({ send, sendEncoded }: LinkConnection<FromControl>): Session<ToControl> {
        const entry: ConnectedEntry = { send, sendEncoded, member: undefined, claim: undefined };
        this.entries.add(entry);
        return {
            onMessage: message => this.receive(entry, message),
            isUrgent: () => false,
            isIdentified: () => entry.member !== undefined,
            onClose: reason => {
                this.entries.delete(entry);
                const { member } = entry;
                if (member) {
                    this.options.environment.logger.warn("entry disconnected", { entry: member.id, reason });
                    this.announceMembersLater(member.zone);
                }
                if (member && entry.claim) {
                    this.recordLostOwner(member, entry.claim, reason);
                    this.announceOwners();
                }
            },
        };
    }

    private recordLostOwner(member: EntryMember, claim: HeardClaim, reason: string): void {
        if (reason === closedByPeer) {
            this.formerOwners.recordEnd(member, claim);
        }
        else {
            this.formerOwners.recordSilence(member, claim);
        }
    }

    private receive(entry: ConnectedEntry, message: ToControl): void {
        checkMessage(message);
        if ((message.type === "hello") === (entry.member !== undefined)) {
            throw new Error("an entry has to say who it is once, with its first message");
        }
        switch (message.type) {
            case "hello":
                this.handleHello(entry, message);
                return;
            case "claim":
                this.handleClaim(entry, message.claim);
                return;
            case "fetch-configuration":
                this.sendConfiguration(entry, message.knownIndex);
        }
    }

    private handleHello(
        entry: ConnectedEntry,
        { member, configurationIndex: knownIndex, upForMs = 0 }: Extract<ToControl, { type: "hello"; }>,
    ): void {
        entry.member = member;
        this.options.onEntryConnected?.(member);
        this.recordReplaced(member);
        this.formerOwners.recordStart(member, upForMs);
        this.options.environment.logger.info("entry connected", { entry: member.id, entryZone: member.zone });
        this.announceMembersLater(member.zone);
        const drainedZones = this.getDrainedZones();
        if (drainedZones) {
            // First, as an entry that knows members or a configuration may begin to own workers.
            entry.send(drainedZones);
        }
        entry.send(this.getMembers(member.zone));
        const workers = this.workers.getAll().filter(worker => worker.zone === member.zone);
        entry.send({ type: "workers", workers });
        entry.send(this.getOwners());
        const index = this.options.configuration.getIndex();
        if (index > knownIndex) {
            entry.send({ type: "configuration-notice", index });
        }
    }

    /** The entry's former process may have ended without its connection being closed. */
    private recordReplaced(member: EntryMember): void {
        for (const { member: other, claim } of this.entries) {
            if (other && claim && other.id === member.id && other.incarnation < member.incarnation) {
                this.formerOwners.recordSilence(other, claim);
            }
        }
    }

    private handleClaim(entry: ConnectedEntry, claim: number): void {
        const former = entry.claim;
        if ((former?.claim ?? 0) === claim) {
            return;
        }
        entry.claim = claim > 0 ? { claim, heardAt: this.options.environment.clock.now() } : undefined;
        if (entry.member && entry.claim) {
            this.formerOwners.recordClaim(entry.member, claim);
        }
        else if (entry.member && former) {
            this.formerOwners.recordEnd(entry.member, former);
        }
        this.announceOwners();
    }

    private sendConfiguration(entry: ConnectedEntry, knownIndex: number): void {
        const index = this.options.configuration.getIndex();
        if (index <= knownIndex) {
            return;
        }
        if (this.encoded?.index !== index) {
            const envelope = this.options.configuration.getEnvelope();
            this.encoded = { index, message: encodeMessage({ type: "configuration", index, envelope }) };
        }
        entry.sendEncoded(this.encoded.message);
    }

    private announceOwners(): void {
        const encoded = encodeMessage(this.getOwners());
        this.entries.forEach(entry => entry.sendEncoded(encoded));
    }

    private getOwners(): FromControl {
        const owners = [...this.entries].flatMap(({ member, claim }) =>
            member && claim ? [{ member, claim: claim.claim }] : []
        );
        return { type: "owners", owners, former: this.formerOwners.getAll() };
    }

    /** Sends the control addresses to every entry when they have changed. */
    private announceChangedAddresses(): void {
        const addresses = [...this.options.getControlAddresses()].sort().join(" ");
        if (addresses === this.announcedAddresses) {
            return;
        }
        this.announcedAddresses = addresses;
        this.options.environment.logger.info("control instances known", { addresses });
        const zones = new Set([...this.entries].flatMap(entry => entry.member?.zone ?? []));
        zones.forEach(zone => this.announceMembers(zone));
    }

    private announceMembersLater(zone: string): void {
        if (this.changedZones.size === 0) {
            this.cancelMemberBatch = this.options.environment.timers.after(memberBatchMs, () => {
                const zones = [...this.changedZones];
                this.changedZones.clear();
                zones.forEach(changed => this.announceMembers(changed));
            });
        }
        this.changedZones.add(zone);
    }

    private announceMembers(zone: string): void {
        this.sendToZone(zone, this.getMembers(zone));
    }

    private getMembers(zone: string): FromControl {
        const members = [...this.entries].flatMap(entry => entry.member?.zone === zone ? [entry.member] : []);
        const control = this.options.getControlAddresses();
        const arePending = this.options.drainedZones?.isKnown() === false;
        return { type: "members", members, control, ...arePending && { areDrainedZonesPending: true } };
    }
}
