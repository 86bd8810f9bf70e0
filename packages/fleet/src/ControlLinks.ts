/**
 * An entry's connections to all control instances, from which it receives the members and workers of its zone, the
 * owners of all zones and configurations.
 */

import type { Address, Milliseconds } from "@anvilmux/common";
import type { WorkerAnnouncement } from "@anvilmux/dispatch";
import { Link } from "@anvilmux/links";
import type { ChannelChecker, LinkEnvironment } from "@anvilmux/links";
import {
    checkMessage,
    selectAddresses,
    selectAnnouncements,
    selectFormerOwners,
    selectMembers,
    selectOwners,
} from "./checkMessages";
import { ConfigurationFetch } from "./ConfigurationFetch";
import type { EntryMember, FormerOwner, FromControl, ToControl, ZoneOwner } from "./messages";

export interface ControlLinksOptions {
    readonly self: EntryMember;
    readonly seeds: readonly Address[];
    readonly checker: ChannelChecker;
    readonly environment: LinkEnvironment;
    readonly getConfigurationIndex: () => number;
    readonly onMembers: (members: readonly EntryMember[]) => void;
    /** This entry's ownership claim on the workers of its zone; 0 means none. */
    readonly getClaim: () => number;
    /** True while this entry has to know soon whether control can be reached. */
    readonly isUrgent: () => boolean;
    /** The owners of all zones as last reported by each control instance, including disconnected instances. */
    readonly onOwners: (owners: readonly ZoneOwner[]) => void;
    /** Called with the owners that zones had before, as a control instance reports them. */
    readonly onFormerOwners: (former: readonly FormerOwner[]) => void;
    readonly onWorkers: (workers: readonly WorkerAnnouncement[]) => void;
    readonly onConfiguration: (index: number, envelope: string) => void;
    /** Called with the drained zones as a control instance knows them; one that is behind gives a lower index. */
    readonly onDrainedZones?: (index: number, zones: readonly string[]) => void;
}

type ControlLink = Link<FromControl, ToControl>;

export class ControlLinks {
    private readonly links = new Map<Address, ControlLink>();
    private readonly owners = new Map<Address, readonly ZoneOwner[]>();
    /** Control instances that sent the members of the zone on their current connection. */
    private readonly membersReportedBy = new Set<Address>();
    /** Connected control instances that will send the drained zones once they know them. */
    private readonly drainedZonesPendingAt = new Set<Address>();
    private readonly fetch: ConfigurationFetch;
    private readonly createdAt: Milliseconds;

    constructor(private readonly options: ControlLinksOptions) {
        this.createdAt = options.environment.clock.now();
        const { environment, getConfigurationIndex } = options;
        this.fetch = new ConfigurationFetch({
            ...environment,
            getIndex: getConfigurationIndex,
            request: control => this.requestConfiguration(control),
            getLastReceivedAt: control => this.links.get(control)?.lastReceivedAt,
        });
        this.addAddresses(options.seeds);
    }

    /** Number of connected control instances. */
    get openCount(): number {
        return [...this.links.values()].filter(link => link.isOpen).length;
    }

    /** True when a control instance was heard within the last `period`. */
    isHeardWithin(period: Milliseconds): boolean {
        const since = this.options.environment.clock.now() - period;
        return [...this.links.values()].some(link => (link.lastReceivedAt ?? -Infinity) >= since);
    }

    /** True when a control instance is connected and every connected one has sent the members of the zone. */
    get areMembersReported(): boolean {
        return this.openCount > 0 && this.openCount === this.membersReportedBy.size;
    }

    /**
     * True while a connected control instance does not know the drained zones yet, as after a restart of the whole
     * group.
     */
    get areDrainedZonesPending(): boolean {
        return this.drainedZonesPendingAt.size > 0;
    }

    stop(): void {
        this.fetch.stop();
        this.links.forEach(link => link.stop());
    }

    /** Sends this entry's ownership claim to every connected control instance. */
    announceClaim(): void {
        const claim = this.options.getClaim();
        this.links.forEach(link => link.send({ type: "claim", claim }));
    }

    /** Connects to the control instances that are not known yet. */
    addAddresses(addresses: readonly Address[]): void {
        addresses.forEach(address => this.add(address));
    }

    private add(address: Address): void {
        if (this.links.has(address)) {
            return;
        }
        const { environment, checker } = this.options;
        const link: ControlLink = new Link(environment, {
            address,
            checker,
            onOpen: () => {
                environment.logger.info("control instance connected", { control: address });
                link.send({
                    type: "hello",
                    member: this.options.self,
                    configurationIndex: this.options.getConfigurationIndex(),
                    upForMs: Math.round(environment.clock.now() - this.createdAt),
                });
                link.send({ type: "claim", claim: this.options.getClaim() });
            },
            onMessage: message => this.receive(link, message),
            isUrgent: () => this.options.isUrgent() || this.fetch.isAwaiting(address),
            onClose: reason => {
                this.membersReportedBy.delete(address);
                this.drainedZonesPendingAt.delete(address);
                this.fetch.handleDisconnected(address);
                environment.logger.warn("control instance disconnected", { control: address, reason });
            },
        });
        this.links.set(address, link);
    }

    private receive(link: ControlLink, message: FromControl): void {
        const { logger } = this.options.environment;
        checkMessage(message);
        switch (message.type) {
            case "members":
                this.membersReportedBy.add(link.address);
                if (message.areDrainedZonesPending) {
                    this.drainedZonesPendingAt.add(link.address);
                }
                this.addAddresses(selectAddresses(message.control, logger));
                this.options.onMembers(selectMembers(message.members, logger));
                return;
            case "owners":
                this.owners.set(link.address, selectOwners(message.owners, logger));
                this.options.onOwners([...this.owners.values()].flat());
                this.options.onFormerOwners(selectFormerOwners(message.former ?? [], logger));
                return;
            case "workers":
                this.options.onWorkers(selectAnnouncements(message.workers, logger));
                return;
            case "configuration-notice":
                this.fetch.handleNotice(link.address, message.index);
                return;
            case "drained-zones":
                this.drainedZonesPendingAt.delete(link.address);
                this.options.onDrainedZones?.(message.index, message.zones);
                return;
            case "configuration":
                this.logReceived(link, message.index);
                this.options.onConfiguration(message.index, message.envelope);
                this.fetch.handleReceived(link.address, message.index, message.envelope.length);
        }
    }

    private logReceived(link: ControlLink, index: number): void {
        this.options.environment.logger.info("configuration received", {
            control: link.address,
            index,
            sinceRequestMs: Math.round(this.fetch.elapsed),
            isNewer: index > this.options.getConfigurationIndex(),
        });
    }

    private requestConfiguration(control: Address): void {
        const knownIndex = this.options.getConfigurationIndex();
        this.links.get(control)?.send({ type: "fetch-configuration", knownIndex });
    }
}
