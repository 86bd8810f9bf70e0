/** An instance without entry services: it runs a replica of the control group and the hub that entries connect to. */

import { splitAddress, toAddress, toZoneId } from "@anvilmux/common";
import type { Address, Milliseconds, ZoneId } from "@anvilmux/common";
import { ControlError } from "@anvilmux/control";
import type { ZoneDrainRecords } from "@anvilmux/control";
import type { WorkerAnnouncement, WorkerId } from "@anvilmux/dispatch";
import { ControlHub } from "@anvilmux/fleet";
import type { Intake } from "@anvilmux/intake";
import { Kernel } from "@anvilmux/kernel";
import { ChannelChecker } from "@anvilmux/links";
import type { CommandResult } from "@anvilmux/protocol";
import type { Logger, Metrics } from "@anvilmux/telemetry";
import type { Environment } from "../environment";
import { defineBaseServices } from "../services/base";
import { defineControlServices } from "../services/control";
import { definePeerServices } from "../services/peers";
import { getListenHost } from "../settings";
import type { Settings } from "../settings";
import {
    configurationToken,
    controlClientToken,
    controlToken,
    intakeToken,
    knownZonesToken,
    loggerToken,
    membershipToken,
    metricsToken,
    peerServerToken,
    zoneViewToken,
} from "../tokens";
import { describeRequester } from "../zoneDrains";

export interface ControlInstanceOptions {
    readonly settings: Settings;
    readonly environment: Environment;
    readonly linkPort: number;
    /** Zones that the deployment is known to have; others are known once something of them is heard. */
    readonly zones?: readonly ZoneId[];
}

/** The result of submitting a manifest. `unknown` means that it was not committed in time and may be later. */
export type SubmissionOutcome =
    | { readonly kind: "accepted"; readonly index: number; }
    | { readonly kind: "refused"; readonly reason: string; readonly detail: string; }
    | { readonly kind: "unknown"; readonly reason: string; };

/** The result of a request to drain or restore a zone. `unknown-zone` means that nothing of the zone was ever heard. */
export type ZoneDrainOutcome = SubmissionOutcome | { readonly kind: "unknown-zone"; };

export class ControlInstance {
    readonly kernel = new Kernel();
    private hub: ControlHub | undefined;
    private checker: ChannelChecker | undefined;

    constructor(private readonly options: ControlInstanceOptions) {
        const { settings, environment } = options;
        defineBaseServices(this.kernel, settings, environment);
        definePeerServices(this.kernel, settings, environment);
        defineControlServices(this.kernel, settings, environment);
    }

    /** Rejects when a port cannot be bound or the data folder cannot be opened. */
    async start(): Promise<void> {
        await this.kernel.start();
        const { environment, settings, linkPort } = this.options;
        const logger = this.logger;
        const configuration = this.kernel.get(configurationToken);
        const { replica } = this.kernel.get(controlToken);
        const { drainedZones } = replica.state;
        const knownZones = this.kernel.get(knownZonesToken);
        this.options.zones?.forEach(zone => knownZones.recordZone(zone));
        this.publishSelf();
        this.checker = new ChannelChecker(environment.clock, environment.timers, stall => {
            logger.warn("process stalled", { stallMs: Math.round(stall) });
        });
        this.hub = new ControlHub({
            host: getListenHost(settings),
            port: linkPort,
            checker: this.checker,
            environment: { ...environment, logger },
            metrics: this.metrics,
            guard: this.intake.peerGuard,
            onEntryConnected: ({ zone }) => knownZones.recordEntry(toZoneId(zone)),
            configuration: {
                getIndex: () => configuration.index,
                getEnvelope: () => Buffer.from(configuration.configuration?.envelope ?? []).toString(),
            },
            drainedZones: {
                isKnown: () => replica.isRecovered,
                getIndex: () => Number(drainedZones.getIndex()),
                getZones: () => drainedZones.getZones(),
            },
            getControlAddresses: () => this.getLinkAddresses(),
        });
        await this.hub.start();
        void replica.untilRecovered().then(() => {
            this.hub?.announceDrainedZones();
            drainedZones.events.on("changed", () => this.hub?.announceDrainedZones());
        });
        configuration.events.on("inForce", () => {
            this.publishSelf();
            this.hub?.announceConfiguration();
        });
    }

    get logger(): Logger {
        return this.kernel.get(loggerToken);
    }

    get metrics(): Metrics {
        return this.kernel.get(metricsToken);
    }

    /** Bounds what clients make the process hold; also for servers that others add. */
    get intake(): Intake {
        return this.kernel.get(intakeToken);
    }

    /** False when the worker is refused, as too many are known. */
    handleWorkerAnnouncement(announcement: WorkerAnnouncement): boolean {
        const isKnown = this.hub?.handleWorkerAnnouncement(announcement) ?? false;
        if (isKnown) {
            this.kernel.find(knownZonesToken)?.recordZone(announcement.zone);
        }
        return isKnown;
    }

    handleWorkerLeft(id: WorkerId): void {
        this.hub?.handleWorkerLeft(id);
    }

    /** Proposes a manifest to the control group and waits until it is committed. */
    async submit(envelope: string, timeoutMs: Milliseconds): Promise<SubmissionOutcome> {
        return this.awaitOutcome(this.kernel.get(controlClientToken).submitManifest(envelope), timeoutMs);
    }

    /**
     * Proposes that no further task is started on the workers of a zone, or withdraws that, and waits until it is
     * committed. A request that was overtaken by one for the opposite is refused with the reason `zone-changed`. To be
     * called in the event loop turn in which the caller was found to be present: what is known of the zone at that
     * time tells whether the request was overtaken.
     */
    async setZoneDrained(
        zone: ZoneId,
        isDrained: boolean,
        requestedBy: string,
        timeoutMs: Milliseconds,
    ): Promise<ZoneDrainOutcome> {
        if (!this.kernel.get(controlToken).replica.isRecovered) {
            return { kind: "unknown", reason: "this instance has not caught up with the control group yet" };
        }
        const { drainedZones } = this;
        const knownIndex = drainedZones.getOrderIndex(zone);
        const knowledge = drainedZones.getRecord(zone) ? "known" : this.kernel.get(knownZonesToken).getKnowledge(zone);
        if (knowledge === "unknown") {
            return { kind: "unknown-zone" };
        }
        if (knowledge === "undecided") {
            return { kind: "unknown", reason: "this instance has not heard of all zones yet" };
        }
        const requester = describeRequester(this.options.settings["instance-id"], requestedBy);
        this.logger.info("zone drain requested", { drainedZone: zone, drained: isDrained, requester });
        const client = this.kernel.get(controlClientToken);
        return this.awaitOutcome(client.setZoneDrained(zone, isDrained, knownIndex, requester), timeoutMs);
    }

    /**
     * The newest manifest in its submitted form. Undefined when the group does not confirm the newest index in time, or
     * when this instance does not have that configuration yet.
     */
    async readNewestManifest(timeoutMs: Milliseconds): Promise<string | undefined> {
        const group = await this.withTimeout(this.kernel.get(controlClientToken).readGroup(), timeoutMs);
        const { configuration } = this.kernel.get(configurationToken);
        const isNewest = group && configuration && configuration.index >= Number(group.configurationIndex);
        return isNewest ? Buffer.from(configuration.envelope).toString() : undefined;
    }

    async stop(): Promise<void> {
        this.hub?.stop();
        this.checker?.stop();
        await this.kernel.stop();
    }

    private get drainedZones(): ZoneDrainRecords {
        return this.kernel.get(controlToken).replica.state.drainedZones;
    }

    private async awaitOutcome(command: Promise<CommandResult>, timeoutMs: Milliseconds): Promise<SubmissionOutcome> {
        const result = await this.withTimeout(command, timeoutMs);
        if (!result) {
            return { kind: "unknown", reason: `not committed within ${timeoutMs} ms` };
        }
        return result.accepted
            ? { kind: "accepted", index: Number(result.index) }
            : { kind: "refused", reason: result.reason, detail: result.detail };
    }

    /** Publishes the addresses and configuration index of this instance through membership. */
    private publishSelf(): void {
        const peerAddress = this.kernel.get(peerServerToken).address;
        this.kernel.get(membershipToken).publishSelf({
            zone: this.options.settings.zone,
            peerAddress,
            publicAddress: peerAddress,
            entry: false,
            control: true,
            state: "ready",
            configurationIndex: this.kernel.get(configurationToken).index,
        });
    }

    /** Link addresses of the known control instances, which all listen for links on the same port. */
    private getLinkAddresses(): readonly Address[] {
        const group = this.kernel.get(controlToken).replica.group.members.map(member => toAddress(member.address));
        const known = new Set([...group, ...this.kernel.get(zoneViewToken).getControlAddresses()]);
        return [...known].map(address => toAddress(`${splitAddress(address).host}:${this.options.linkPort}`));
    }

    /** Resolves with undefined when the promise rejects with a `ControlError` or does not settle in time. */
    private withTimeout<T>(promise: Promise<T>, timeoutMs: Milliseconds): Promise<T | undefined> {
        return new Promise((resolve, reject) => {
            const unsubscribe = this.options.environment.timers.after(timeoutMs, () => resolve(undefined));
            promise.then(resolve, error => error instanceof ControlError ? resolve(undefined) : reject(error))
                .finally(unsubscribe);
        });
    }
}
