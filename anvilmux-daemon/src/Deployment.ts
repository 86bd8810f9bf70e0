/** A deployment in one process over loopback sockets: entries, control replicas, stand-in upstreams and workers. */

import { Instance, loadSettings, newSystemEnvironment } from "@anvilmux/anvilmux";
import type { Environment } from "@anvilmux/anvilmux";
import { newSigningKeyPair, signManifest } from "@anvilmux/manifest";
import { Announcer, findFreePorts, StandInUpstream, StandInWorker } from "@anvilmux/stand-ins";
import { mkdirSync, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { request } from "undici";

export interface DeploymentOptions {
    readonly zones: readonly string[];
    readonly entriesPerZone: number;
    readonly upstreamsPerZone: number;
    readonly slotsPerUpstream: number;
    readonly workersPerZone: number;
    readonly processorsPerWorker: number;
    readonly service: string;
    /** Settings for every instance, in addition to addresses and credentials. */
    readonly settings?: Readonly<Record<string, string>>;
    /** Folder for control state; when absent, a temporary one that `stop` removes. */
    readonly dataFolder?: string;
    /** Returns the environment of an instance; the system environment when absent. */
    readonly getEnvironment?: (instanceId: string) => Environment;
}

export const platformToken = "sample-platform-token";
export const operatorToken = "sample-operator-token";
const peerSecret = "sample-peer-secret";
const signingKeyId = "sample-release-key";
const connectionsPerUpstream = 60;
const announcementLeaseMs = 3_000;
const workersPerRack = 8;

/** An upstream or worker together with its announcer. */
export interface Announced<T> {
    readonly zone: string;
    readonly standIn: T;
    readonly announcer: Announcer;
}

interface PlannedInstance {
    readonly id: string;
    readonly zone: string;
    readonly peerPort: number;
    readonly publicPort: number;
    readonly isControl: boolean;
}

export class Deployment {
    readonly instances = new Map<string, Instance>();
    readonly upstreams: Announced<StandInUpstream>[] = [];
    readonly workers: Announced<StandInWorker>[] = [];
    private readonly signingKeys = newSigningKeyPair();
    private plan: readonly PlannedInstance[] = [];
    private folder = "";

    constructor(private readonly options: DeploymentOptions) {}

    /** Starts all instances and stand-ins without submitting a manifest. */
    async start(): Promise<void> {
        this.folder = this.options.dataFolder ?? mkdtempSync(join(tmpdir(), "anvilmux-"));
        mkdirSync(this.folder, { recursive: true });
        writeFileSync(join(this.folder, "release.pem"), this.signingKeys.publicKeyPem);
        this.plan = await planInstances(this.options);
        await Promise.all(this.plan.map(planned => this.startInstance(planned.id)));
        await this.startStandIns();
    }

    /** Starts a planned instance, or restarts it after a stop. */
    async startInstance(id: string): Promise<Instance> {
        const planned = this.plan.find(item => item.id === id)!;
        const { settings } = loadSettings(this.getFlags(planned), {});
        const instance = new Instance(settings, this.options.getEnvironment?.(id) ?? newSystemEnvironment());
        await instance.start();
        this.instances.set(id, instance);
        return instance;
    }

    getPublicAddress(id: string): string {
        return `127.0.0.1:${this.plan.find(item => item.id === id)!.publicPort}`;
    }

    getPeerAddress(id: string): string {
        return `127.0.0.1:${this.plan.find(item => item.id === id)!.peerPort}`;
    }

    getInstanceIds(zone?: string): readonly string[] {
        return this.plan.filter(item => zone === undefined || item.zone === zone).map(item => item.id);
    }

    getZone(id: string): string {
        return this.plan.find(item => item.id === id)!.zone;
    }

    getDataFolder(id: string): string {
        return join(this.folder, id);
    }

    /** Signs a manifest and submits it through an entry, with up to 10 retries while there is no majority. */
    async submitManifest(manifest: unknown, entryId = this.plan[0]!.id): Promise<number> {
        const envelope = signManifest(JSON.stringify(manifest), signingKeyId, this.signingKeys.privateKeyPem);
        for (let attempt = 0;; attempt++) {
            const response = await request(`http://${this.getPublicAddress(entryId)}/v1/manifests`, {
                method: "POST",
                headers: { authorization: `Bearer ${operatorToken}` },
                body: envelope,
            });
            const reply = await response.body.json() as { readonly index?: number; readonly detail?: string; };
            if (response.statusCode === 200) {
                return reply.index!;
            }
            if (response.statusCode !== 503 || attempt >= 10) {
                throw new Error(`manifest not accepted: ${response.statusCode} ${reply.detail ?? ""}`);
            }
        }
    }

    sign(manifest: unknown): string {
        return signManifest(JSON.stringify(manifest), signingKeyId, this.signingKeys.privateKeyPem);
    }

    /** Waits until every running instance is ready. */
    async waitUntilReady(timeoutMs = 20_000): Promise<void> {
        const isReady = () => [...this.instances.values()].every(instance => instance.isReady);
        await waitFor(isReady, timeoutMs, "not all instances became ready");
    }

    async stop(): Promise<void> {
        [...this.upstreams, ...this.workers].forEach(item => item.announcer.stop());
        await Promise.all([...this.instances.values()].map(instance => instance.stop()));
        await Promise.all([...this.upstreams, ...this.workers].map(item => item.standIn.close()));
        if (this.options.dataFolder === undefined) {
            rmSync(this.folder, { recursive: true, force: true });
        }
    }

    /** Starts and announces another upstream. */
    async addUpstream(zone: string, id: string, incarnation = Date.now()): Promise<Announced<StandInUpstream>> {
        const standIn = new StandInUpstream({ id, slots: this.options.slotsPerUpstream });
        const address = await standIn.listen();
        const announcer = this.newAnnouncer("/v1/upstreams", zone, {
            service: this.options.service,
            id,
            address,
            slots: this.options.slotsPerUpstream,
            connections: connectionsPerUpstream,
            incarnation,
            leaseMs: announcementLeaseMs,
        });
        await announcer.start();
        const upstream = { zone, standIn, announcer };
        this.upstreams.push(upstream);
        return upstream;
    }

    private async addWorker(zone: string, position: number): Promise<void> {
        const standIn = new StandInWorker({
            id: `${zone}-worker-${position}`,
            rack: `${zone}-rack-${Math.floor(position / workersPerRack)}`,
            processors: this.options.processorsPerWorker,
            memoryMebibytes: this.options.processorsPerWorker * 2_048,
            accelerators: 0,
        });
        const address = await standIn.listen();
        const announcer = this.newAnnouncer("/v1/workers", zone, {
            ...standIn.options,
            address,
            incarnation: Date.now(),
            leaseMs: announcementLeaseMs,
        });
        await announcer.start();
        this.workers.push({ zone, standIn, announcer });
    }

    private newAnnouncer(
        path: string,
        zone: string,
        announcement: Readonly<Record<string, unknown>> & { readonly leaseMs: number; },
    ): Announcer {
        return new Announcer({
            path,
            announcement,
            platformToken,
            entries: () => this.getInstanceIds(zone).map(id => this.getPublicAddress(id)),
        });
    }

    private async startStandIns(): Promise<void> {
        for (const zone of this.options.zones) {
            for (let position = 0; position < this.options.upstreamsPerZone; position++) {
                await this.addUpstream(zone, `${zone}-upstream-${position}`);
            }
            for (let position = 0; position < this.options.workersPerZone; position++) {
                await this.addWorker(zone, position);
            }
        }
    }

    private getFlags(planned: PlannedInstance): Readonly<Record<string, string>> {
        const control = this.plan.filter(item => item.isControl).map(item => `127.0.0.1:${item.peerPort}`);
        const seeds = this.plan.slice(0, 3).map(item => `127.0.0.1:${item.peerPort}`);
        return {
            "instance-id": planned.id,
            "zone": planned.zone,
            "host": "127.0.0.1",
            "public-port": String(planned.publicPort),
            "peer-port": String(planned.peerPort),
            "seeds": seeds.join(","),
            "control-peers": control.join(","),
            ...(planned.isControl ? { "data-folder": this.getDataFolder(planned.id) } : {}),
            "peer-secrets": peerSecret,
            "platform-token": platformToken,
            "operator-token": operatorToken,
            "trusted-keys": `${signingKeyId}=${join(this.folder, "release.pem")}`,
            "readiness-lag-ms": "200",
            "log-level": "warn",
            ...this.options.settings,
        };
    }
}

/** Assigns ids, zones and free ports; the first entry of each of the first three zones is a control replica. */
const planInstances = async (options: DeploymentOptions): Promise<readonly PlannedInstance[]> => {
    const count = options.zones.length * options.entriesPerZone;
    const ports = await findFreePorts(count * 2);
    return options.zones.flatMap((zone, zonePosition) =>
        Array.from({ length: options.entriesPerZone }, (_unused, position) => {
            const number = zonePosition * options.entriesPerZone + position;
            return {
                id: `${zone}-entry-${position}`,
                zone,
                peerPort: ports[number * 2]!,
                publicPort: ports[number * 2 + 1]!,
                isControl: position === 0 && zonePosition < 3,
            };
        })
    );
};

/** Polls until the condition holds; throws with `message` after `timeoutMs`. */
export const waitFor = async (condition: () => boolean, timeoutMs: number, message: string): Promise<void> => {
    const deadline = performance.now() + timeoutMs;
    while (!condition()) {
        if (performance.now() > deadline) {
            throw new Error(message);
        }
        await new Promise(resolve => setTimeout(resolve, 20));
    }
};
