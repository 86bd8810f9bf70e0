/**
 * The slots of every service in the configuration, updated from announcements and membership. The steward of a service
 * is the entry that coordinates the slots of the service in its zone.
 */

import type { Clock, Random, Timers, Unsubscribe } from "@anvilmux/common";
import type { ConfigurationHolder } from "@anvilmux/control";
import type { LeaseRegistry, Membership, UpstreamAnnouncement } from "@anvilmux/membership";
import { newStrategy, ServiceSlots, UpstreamConnections } from "@anvilmux/routing";
import type { StrategyName } from "@anvilmux/routing";
import type { Logger, Metrics } from "@anvilmux/telemetry";
import type { PeerNetwork } from "@anvilmux/transport";
import { RemoteFreeSlots } from "./RemoteFreeSlots";
import type { ZoneView } from "./ZoneView";

export interface SlotDirectoryOptions {
    readonly instanceId: string;
    readonly zone: string;
    readonly strategy: StrategyName;
    readonly clock: Clock;
    readonly timers: Timers;
    readonly random: Random;
    readonly logger: Logger;
    readonly metrics: Metrics;
    readonly configuration: ConfigurationHolder;
    readonly membership: Membership;
    readonly upstreams: LeaseRegistry<UpstreamAnnouncement>;
    readonly zoneView: ZoneView;
    readonly network: PeerNetwork;
}

const refreshPeriodMs = 250;
/** Published free slots are rounded down to a multiple of capacity / `publishedSteps`, to keep gossip small. */
const publishedSteps = 10;

export class SlotDirectory {
    readonly connections: UpstreamConnections;
    private readonly services = new Map<string, ServiceSlots>();
    private readonly unsubscribes: Unsubscribe[] = [];
    private refreshScheduled = false;

    constructor(private readonly options: SlotDirectoryOptions) {
        this.connections = new UpstreamConnections(options.timers, () => this.getConnectionsPerUpstream());
    }

    start(): void {
        const { timers, membership, configuration } = this.options;
        this.unsubscribes.push(
            timers.every(refreshPeriodMs, () => this.refresh()),
            membership.events.on("changed", () => this.scheduleRefresh()),
            configuration.events.on("inForce", () => this.scheduleRefresh()),
        );
        this.refresh();
    }

    get(service: string): ServiceSlots {
        let slots = this.services.get(service);
        if (!slots) {
            slots = this.newServiceSlots(service);
            this.services.set(service, slots);
            this.declareRunTimes(service, slots);
            slots.update(this.getUpstreams(service));
        }
        return slots;
    }

    find(service: string): ServiceSlots | undefined {
        return this.services.get(service);
    }

    /** Free slots of the services of which this instance is the steward, rounded down for publishing. */
    getFreeSlots(): Readonly<Record<string, number>> {
        const result: Record<string, number> = {};
        for (const [name, slots] of this.services) {
            if (slots.isZoneSteward) {
                const { freeSlots, waiting, totalSlots } = slots.zoneScheduler;
                const step = Math.max(1, Math.floor(totalSlots / publishedSteps));
                result[name] = Math.floor(Math.max(0, freeSlots - waiting) / step) * step;
            }
        }
        return result;
    }

    async stop(): Promise<void> {
        this.unsubscribes.forEach(unsubscribe => unsubscribe());
        this.services.forEach(slots => slots.stop());
        await this.connections.close();
    }

    /** Schedules a refresh, unless one is scheduled already. */
    private scheduleRefresh(): void {
        if (!this.refreshScheduled) {
            this.refreshScheduled = true;
            this.options.timers.after(0, () => {
                this.refreshScheduled = false;
                this.refresh();
            });
        }
    }

    private refresh(): void {
        const manifest = this.options.configuration.configuration?.manifest;
        for (const service of manifest?.services ?? []) {
            const slots = this.get(service.name);
            this.declareRunTimes(service.name, slots);
            slots.update(this.getUpstreams(service.name));
        }
    }

    private declareRunTimes(name: string, slots: ServiceSlots): void {
        const service = this.options.configuration.configuration?.services.get(name);
        service?.kinds.forEach(kind => slots.runTimes.declare(kind.name, kind.declaredRunMs));
    }

    private getUpstreams(service: string): readonly UpstreamAnnouncement[] {
        return this.options.upstreams.getLive().filter(upstream => upstream.service === service);
    }

    private getConnectionsPerUpstream(): number {
        const smallest = Math.min(...this.options.upstreams.getLive().map(upstream => upstream.connections));
        const entries = Math.max(1, this.options.zoneView.countEntriesInAllZones());
        return Number.isFinite(smallest) ? Math.max(1, Math.floor(smallest / entries)) : 1;
    }

    private newServiceSlots(service: string): ServiceSlots {
        const { instanceId, zone, clock, timers, logger, metrics, zoneView, network, configuration } = this.options;
        const remoteFreeSlots = new RemoteFreeSlots(
            clock,
            this.options.random,
            () => zoneView.getRemoteFreeSlots(service),
        );
        return new ServiceSlots({
            service,
            entryId: instanceId,
            zone,
            strategy: newStrategy(this.options.strategy, this.options.random),
            clock,
            timers,
            logger,
            getTeamShare: team =>
                configuration.configuration?.manifest.teams.find(item => item.name === team)?.maximumSlotShare ?? 1,
            getSteward: inZone => zoneView.getSteward(service, inZone),
            getEntriesInZone: () => zoneView.getEntries(zone).length,
            getEntriesInAllZones: () => zoneView.countEntriesInAllZones(),
            takeRemoteFreeSlot: () => remoteFreeSlots.take(),
            pickOtherZone: () => remoteFreeSlots.pickZone(),
            connect: address => network.peer(address),
            onMessage: kind => metrics.count("anvilmux_own_messages_total", { kind }),
        });
    }
}
