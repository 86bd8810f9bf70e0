/** An entry's connections to the control instances: who else is in the zone, which workers, which configuration. */

import type { Address } from "@anvilmux/common";
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
    readonly getClaim: () => number;
    /** The owners of all zones as far as the control instances that are heard know them. */
    readonly onOwners: (owners: readonly ZoneOwner[]) => void;
    readonly onWorkers: (workers: readonly WorkerAnnouncement[]) => void;
    readonly onConfiguration: (index: number, envelope: string) => void;
}

type ControlLink = Link<FromControl, ToControl>;

/** Time for which a configuration asked for at one control instance is not asked for at another. */
const fetchPatienceMs = 300;

export class ControlLinks {
    private readonly links = new Map<Address, ControlLink>();
    private readonly owners = new Map<Address, readonly ZoneOwner[]>();
    /** Control instances that told the entries of the zone on the present connection. */
    private readonly informants = new Set<Address>();
    private fetching: number | undefined;

    constructor(private readonly options: ControlLinksOptions) {
        this.addAddresses(options.seeds);
    }

    /** Number of control instances that are heard. */
    get openCount(): number {
        return [...this.links.values()].filter(link => link.isOpen).length;
    }

    /** True when some control instance is heard and all that are heard have told the entries of the zone. */
    get areMembersTold(): boolean {
        return this.openCount > 0 && this.openCount === this.informants.size;
    }

    stop(): void {
        this.links.forEach(link => link.stop());
    }

    /** Tells control this entry's claim to the workers of its zone. */
    tellClaim(): void {
        const claim = this.options.getClaim();
        this.links.forEach(link => link.send({ type: "claim", claim }));
    }

    /** Connects to control instances that are not known yet. */
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
                this.informants.delete(address);
                environment.logger.warn("control instance lost", { control: address, reason });
            },
        });
        this.links.set(address, link);
    }

    private receive(link: ControlLink, message: FromControl): void {
        switch (message.type) {
            case "members":
                this.informants.add(link.address);
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
                this.fetch(link, message.index);
                return;
            case "configuration":
                this.options.onConfiguration(message.index, message.envelope);
        }
    }

    /** Asks for a newer configuration; another control instance is asked when the first does not answer soon. */
    private fetch(link: ControlLink, index: number): void {
        const knownIndex = this.options.getConfigurationIndex();
        if (index <= knownIndex) {
            return;
        }
        if (this.fetching !== undefined && index <= this.fetching) {
            this.options.environment.timers.after(fetchPatienceMs, () => {
                if (this.options.getConfigurationIndex() < index) {
                    this.ask(link);
                }
            });
            return;
        }
        this.fetching = index;
        this.ask(link);
    }

    private ask(link: ControlLink): void {
        link.send({ type: "fetch-configuration", knownIndex: this.options.getConfigurationIndex() });
    }
}
