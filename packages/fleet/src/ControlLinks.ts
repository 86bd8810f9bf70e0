/**
 * An entry's connections to all control instances, from which it receives the members and workers of its zone, the
 * owners of all zones and configurations.
 */

import type { Address, Milliseconds } from "@anvilmux/common";
import type { WorkerAnnouncement } from "@anvilmux/dispatch";
import { Link } from "@anvilmux/links";
import type { ChannelChecker, LinkEnvironment } from "@anvilmux/links";
import type { EntryMember, FromControl, ToControl, ZoneOwner } from "./messages";

export interface ControlLinksOptions {
    readonly self: EntryMember;
    readonly seeds: readonly Address[];
    readonly checker: ChannelChecker;
    readonly environment: LinkEnvironment;
    readonly getConfigurationIndex: () => number;
    readonly onMembers: (members: readonly EntryMember[]) => void;
    /** This entry's ownership claim on the workers of its zone; 0 means none. */
    readonly getClaim: () => number;
    /** The owners of all zones as last reported by each control instance, including disconnected instances. */
    readonly onOwners: (owners: readonly ZoneOwner[]) => void;
    readonly onWorkers: (workers: readonly WorkerAnnouncement[]) => void;
    readonly onConfiguration: (index: number, envelope: string) => void;
}

type ControlLink = Link<FromControl, ToControl>;

/** Time after which a configuration requested from one control instance is requested from another as well. */
const fetchTimeoutMs = 300;

export class ControlLinks {
    private readonly links = new Map<Address, ControlLink>();
    private readonly owners = new Map<Address, readonly ZoneOwner[]>();
    /** Control instances that sent the members of the zone on their current connection. */
    private readonly membersReportedBy = new Set<Address>();
    private fetchingIndex: number | undefined;
    private fetchingSince: Milliseconds = 0;

    constructor(private readonly options: ControlLinksOptions) {
        this.addAddresses(options.seeds);
    }

    /** Number of connected control instances. */
    get openCount(): number {
        return [...this.links.values()].filter(link => link.isOpen).length;
    }

    /** True when a control instance is connected and every connected one has sent the members of the zone. */
    get areMembersReported(): boolean {
        return this.openCount > 0 && this.openCount === this.membersReportedBy.size;
    }

    stop(): void {
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
                });
                link.send({ type: "claim", claim: this.options.getClaim() });
            },
            onMessage: message => this.receive(link, message),
            onClose: reason => {
                this.membersReportedBy.delete(address);
                environment.logger.warn("control instance disconnected", { control: address, reason });
            },
        });
        this.links.set(address, link);
    }

    private receive(link: ControlLink, message: FromControl): void {
        switch (message.type) {
            case "members":
                this.membersReportedBy.add(link.address);
                this.addAddresses(message.control);
                this.options.onMembers(message.members);
                return;
            case "owners":
                this.owners.set(link.address, message.owners);
                this.options.onOwners([...this.owners.values()].flat());
                return;
            case "workers":
                this.options.onWorkers(message.workers);
                return;
            case "configuration-notice":
                this.fetchConfiguration(link, message.index);
                return;
            case "configuration":
                this.logReceived(link, message.index);
                this.options.onConfiguration(message.index, message.envelope);
        }
    }

    private logReceived(link: ControlLink, index: number): void {
        const { clock, logger } = this.options.environment;
        logger.info("configuration received", {
            control: link.address,
            index,
            sinceNoticeMs: Math.round(clock.now() - this.fetchingSince),
            isNewer: index > this.options.getConfigurationIndex(),
        });
    }

    /** Requests a newer configuration, from a second control instance when the first does not reply in time. */
    private fetchConfiguration(link: ControlLink, index: number): void {
        const knownIndex = this.options.getConfigurationIndex();
        if (index <= knownIndex) {
            return;
        }
        if (this.fetchingIndex !== undefined && index <= this.fetchingIndex) {
            this.options.environment.timers.after(fetchTimeoutMs, () => {
                if (this.options.getConfigurationIndex() < index) {
                    this.requestConfiguration(link);
                }
            });
            return;
        }
        this.fetchingIndex = index;
        this.fetchingSince = this.options.environment.clock.now();
        this.requestConfiguration(link);
    }

    private requestConfiguration(link: ControlLink): void {
        link.send({ type: "fetch-configuration", knownIndex: this.options.getConfigurationIndex() });
    }
}
