/** An instance that only keeps control state: a replica of the control group and the hub that entries connect to. */

import { splitAddress, toAddress } from "@anvilmux/common";
import type { Address, Milliseconds } from "@anvilmux/common";
import { ControlError } from "@anvilmux/control";
import type { WorkerAnnouncement, WorkerId } from "@anvilmux/dispatch";
import { ControlHub } from "@anvilmux/fleet";
import { Kernel } from "@anvilmux/kernel";
import { ChannelChecker } from "@anvilmux/links";
import type { Logger, Metrics } from "@anvilmux/telemetry";
import type { Environment } from "../environment";
import { defineBaseServices } from "../services/base";
import { defineControlServices } from "../services/control";
import { definePeerServices } from "../services/peers";
import type { Settings } from "../settings";
import {
    configurationToken,
    controlClientToken,
    controlToken,
    loggerToken,
    membershipToken,
    metricsToken,
    peerServerToken,
    zoneViewToken,
} from "../tokens";

export interface ControlInstanceOptions {
    readonly settings: Settings;
    readonly environment: Environment;
    readonly linkPort: number;
}

/** What became of a submitted manifest. */
export type SubmissionOutcome =
    | { readonly kind: "accepted"; readonly index: number; }
    | { readonly kind: "refused"; readonly reason: string; readonly detail: string; }
    | { readonly kind: "unknown"; readonly reason: string; };

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

    /** Rejects when a port cannot be taken or the data folder cannot be used. */
    async start(): Promise<void> {
        await this.kernel.start();
        const { environment, settings, linkPort } = this.options;
        const logger = this.logger;
        const configuration = this.kernel.get(configurationToken);
        this.publishSelf();
        this.checker = new ChannelChecker(environment.clock, environment.timers, stall => {
            logger.warn("this process stood still", { stallMs: Math.round(stall) });
        });
        this.hub = new ControlHub({
            host: settings.host,
            port: linkPort,
            checker: this.checker,
            environment: { ...environment, logger },
            metrics: this.metrics,
            configuration: {
                getIndex: () => configuration.index,
                getEnvelope: () => Buffer.from(configuration.configuration?.envelope ?? []).toString(),
            },
            getControlAddresses: () => this.getLinkAddresses(),
        });
        await this.hub.start();
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

    noteWorker(announcement: WorkerAnnouncement): void {
        this.hub?.noteWorker(announcement);
    }

    noteWorkerLeft(id: WorkerId): void {
        this.hub?.noteWorkerLeft(id);
    }

    /** Hands a manifest to the group and waits until it is durable. */
    async submit(envelope: string, timeoutMs: Milliseconds): Promise<SubmissionOutcome> {
        const submission = this.kernel.get(controlClientToken).submitManifest(envelope);
        const result = await this.withTimeout(submission, timeoutMs);
        if (!result) {
            return { kind: "unknown", reason: `not committed within ${timeoutMs} ms` };
        }
        return result.accepted
            ? { kind: "accepted", index: Number(result.index) }
            : { kind: "refused", reason: result.reason, detail: result.detail };
    }

    /** The newest manifest as it was handed over, after asking the group; undefined when that cannot be known. */
    async readNewest(timeoutMs: Milliseconds): Promise<string | undefined> {
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

    /** Tells the other control instances where this one is reached. */
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

    /** All control instances use the same port for links. */
    private getLinkAddresses(): readonly Address[] {
        const group = this.kernel.get(controlToken).replica.group.members.map(member => toAddress(member.address));
        const known = new Set([...group, ...this.kernel.get(zoneViewToken).getControlAddresses()]);
        return [...known].map(address => toAddress(`${splitAddress(address).host}:${this.options.linkPort}`));
    }

    /** Undefined when the group did not answer in time. */
    private withTimeout<T>(promise: Promise<T>, timeoutMs: Milliseconds): Promise<T | undefined> {
        return new Promise((resolve, reject) => {
            const unsubscribe = this.options.environment.timers.after(timeoutMs, () => resolve(undefined));
            promise.then(resolve, error => error instanceof ControlError ? resolve(undefined) : reject(error))
                .finally(unsubscribe);
        });
    }
}
