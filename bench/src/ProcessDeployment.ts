/**
 * A deployment of separate `anvilmux serve` processes, with stand-in upstreams and workers in the bench's own process.
 */

import { newSigningKeyPair, signManifest } from "@anvilmux/manifest";
import { Announcer, findFreePorts, StandInUpstream, StandInWorker } from "@anvilmux/stand-ins";
import { spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";
import { request } from "undici";
import { waitFor } from "../../anvilmux-daemon/src/Deployment";

export interface ProcessDeploymentOptions {
    readonly zones: readonly string[];
    /** Entries of each zone, in order. */
    readonly entries: readonly number[];
    readonly service: string;
    readonly settings?: Readonly<Record<string, string>>;
    /** Number of control instances: the first entry of each zone, then the second ones. */
    readonly controlCount?: number;
}

export interface Process {
    readonly id: string;
    readonly zone: string;
    readonly publicAddress: string;
    readonly peerAddress: string;
    readonly isControl: boolean;
    child: ChildProcess | undefined;
    output: string;
}

const platformToken = "bench-platform-token";
export const operatorToken = "bench-operator-token";
const signingKeyId = "bench-key";
const program = resolve("dist/anvilmux.js");
/** `ANVILMUX_PROFILE=FOLDER` writes a processor profile of each process that is stopped by SIGTERM. */
const profileFolder = process.env["ANVILMUX_PROFILE"];
const profilerFlags = profileFolder ? ["--cpu-prof", `--cpu-prof-dir=${profileFolder}`] : [];

export class ProcessDeployment {
    readonly processes: Process[] = [];
    readonly upstreams: { readonly zone: string; readonly standIn: StandInUpstream; readonly announcer: Announcer; }[] =
        [];
    readonly workers: { readonly zone: string; readonly standIn: StandInWorker; readonly announcer: Announcer; }[] = [];
    private readonly keys = newSigningKeyPair();
    private readonly folder = mkdtempSync(join(tmpdir(), "anvilmux-bench-"));

    constructor(private readonly options: ProcessDeploymentOptions) {
        writeFileSync(join(this.folder, "key.pem"), this.keys.publicKeyPem);
    }

    /** Starts all processes and waits until each responds. */
    async start(): Promise<void> {
        const count = this.options.entries.reduce((sum, entries) => sum + entries, 0);
        const ports = await findFreePorts(count * 2);
        let number = 0;
        let remainingControlCount = this.options.controlCount ?? 3;
        for (let position = 0; position < Math.max(...this.options.entries); position++) {
            for (const [zonePosition, zone] of this.options.zones.entries()) {
                if (position < this.options.entries[zonePosition]!) {
                    this.processes.push({
                        id: `${zone}-${position}`,
                        zone,
                        publicAddress: `127.0.0.1:${ports[number * 2]}`,
                        peerAddress: `127.0.0.1:${ports[number * 2 + 1]}`,
                        isControl: remainingControlCount-- > 0,
                        child: undefined,
                        output: "",
                    });
                    number += 1;
                }
            }
        }
        await Promise.all(this.processes.map(item => this.startProcess(item.id)));
    }

    find(id: string): Process {
        return this.processes.find(item => item.id === id)!;
    }

    get publicAddresses(): readonly string[] {
        return this.processes.filter(item => item.child).map(item => item.publicAddress);
    }

    getDataFolder(id: string): string {
        return join(this.folder, id);
    }

    async startProcess(id: string): Promise<void> {
        const item = this.find(id);
        const flags = Object.entries(this.getFlags(item)).map(([name, value]) => `--${name}=${value}`);
        const child = spawn(process.execPath, [...profilerFlags, program, "serve", ...flags], {
            stdio: ["ignore", "pipe", "pipe"],
        });
        item.child = child;
        item.output = "";
        child.stdout.on("data", chunk => item.output = (item.output + String(chunk)).slice(-20_000));
        child.stderr.on("data", chunk => item.output = (item.output + String(chunk)).slice(-20_000));
        child.once("exit", () => {
            if (item.child === child) {
                item.child = undefined;
            }
        });
        await waitUntilSuccessful(`http://${item.publicAddress}/live`, 15_000, () => item.output);
    }

    /** Sends a signal to one process and waits until it exits; returns the exit code. */
    async stopProcess(id: string, signal: NodeJS.Signals): Promise<number | undefined> {
        const { child } = this.find(id);
        if (!child) {
            return undefined;
        }
        const ended = new Promise<number | undefined>(resolveEnd =>
            child.once("exit", code => resolveEnd(code ?? undefined))
        );
        child.kill(signal);
        return ended;
    }

    /** Submits a manifest through an entry; returns its index, or undefined when it was not accepted. */
    async submitManifest(
        manifest: unknown,
        id = this.processes[0]!.id,
        timeoutMs = 10_000,
    ): Promise<number | undefined> {
        const envelope = signManifest(JSON.stringify(manifest), signingKeyId, this.keys.privateKeyPem);
        const response = await request(`http://${this.find(id).publicAddress}/v1/manifests`, {
            method: "POST",
            headers: { authorization: `Bearer ${operatorToken}` },
            body: envelope,
            headersTimeout: timeoutMs,
        });
        const reply = await response.body.json() as { readonly index?: number; };
        return response.statusCode === 200 ? reply.index : undefined;
    }

    async getStatus(id: string): Promise<{
        readonly configuration: { readonly index: number; };
        readonly control: {
            readonly available: boolean;
            readonly replicas: readonly { readonly memberId: string; }[];
        };
    }> {
        const response = await request(`http://${this.find(id).publicAddress}/v1/status`, {
            headers: { authorization: `Bearer ${operatorToken}` },
        });
        return await response.body.json() as Awaited<ReturnType<ProcessDeployment["getStatus"]>>;
    }

    /** Sum of the metrics of one process whose lines begin with `prefix`. */
    async getMetric(id: string, prefix: string): Promise<number> {
        const response = await request(`http://${this.find(id).publicAddress}/metrics`);
        const lines = (await response.body.text()).split("\n").filter(line => line.startsWith(prefix));
        return lines.reduce((sum, line) => sum + Number(line.slice(line.lastIndexOf(" "))), 0);
    }

    /** Submits a manifest until it is accepted, then waits until all running processes are ready. */
    async applyManifest(manifest: unknown): Promise<void> {
        const deadline = performance.now() + 20_000;
        while (await this.submitManifest(manifest) === undefined) {
            if (performance.now() > deadline) {
                throw new Error(
                    `manifest was not accepted within 20 s; output: ${this.processes[0]!.output.slice(-1_500)}`,
                );
            }
        }
        await this.waitUntilReady();
    }

    async waitUntilReady(timeoutMs = 20_000): Promise<void> {
        await Promise.all(
            this.processes.filter(item => item.child).map(item =>
                waitUntilSuccessful(`http://${item.publicAddress}/ready`, timeoutMs, () => item.output)
            ),
        );
    }

    /** Announces an upstream, in this process or another, and keeps renewing its lease. */
    async announceUpstream(zone: string, id: string, address: string, slots: number): Promise<Announcer> {
        const announcer = this.newAnnouncer("/v1/upstreams", zone, {
            service: this.options.service,
            id,
            address,
            slots,
            connections: 60,
            incarnation: Date.now(),
            leaseMs: 3_000,
        });
        await announcer.start();
        return announcer;
    }

    async addUpstreams(zone: string, count: number, slots: number): Promise<void> {
        for (let number = 0; number < count; number++) {
            const id = `${zone}-upstream-${number}`;
            const standIn = new StandInUpstream({ id, slots });
            const announcer = await this.announceUpstream(zone, id, await standIn.listen(), slots);
            this.upstreams.push({ zone, standIn, announcer });
        }
    }

    async addWorkers(zone: string, count: number, processors: number): Promise<void> {
        for (let number = 0; number < count; number++) {
            const standIn = new StandInWorker({
                id: `${zone}-worker-${number}`,
                rack: `${zone}-rack-${Math.floor(number / 8)}`,
                processors,
                memoryMebibytes: processors * 2_048,
                accelerators: 0,
            });
            const address = await standIn.listen();
            const announcer = this.newAnnouncer("/v1/workers", zone, {
                ...standIn.options,
                address,
                incarnation: Date.now(),
                leaseMs: 3_000,
            });
            await announcer.start();
            this.workers.push({ zone, standIn, announcer });
        }
    }

    /** Number of starts by work id, summed over all upstreams. */
    getStarts(): ReadonlyMap<string, number> {
        const starts = new Map<string, number>();
        for (const { standIn } of this.upstreams) {
            standIn.starts.forEach((count, id) => starts.set(id, (starts.get(id) ?? 0) + count));
        }
        return starts;
    }

    async stop(): Promise<void> {
        [...this.upstreams, ...this.workers].forEach(item => item.announcer.stop());
        await Promise.all(this.processes.map(item => this.stopProcess(item.id, profileFolder ? "SIGTERM" : "SIGKILL")));
        await Promise.all([...this.upstreams, ...this.workers].map(item => item.standIn.close()));
        rmSync(this.folder, { recursive: true, force: true });
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
            entries: () =>
                this.processes.filter(item => item.zone === zone && item.child).map(item => item.publicAddress),
        });
    }

    private getFlags(item: Process): Readonly<Record<string, string>> {
        const control = this.processes.filter(other => other.isControl).map(other => other.peerAddress);
        return {
            "instance-id": item.id,
            "zone": item.zone,
            "host": "127.0.0.1",
            "public-port": item.publicAddress.split(":")[1]!,
            "peer-port": item.peerAddress.split(":")[1]!,
            "seeds": control.join(","),
            "control-peers": control.join(","),
            ...(item.isControl ? { "data-folder": this.getDataFolder(item.id) } : {}),
            "peer-secrets": "bench-peer-secret",
            "platform-token": platformToken,
            "operator-token": operatorToken,
            "trusted-keys": `${signingKeyId}=${join(this.folder, "key.pem")}`,
            "readiness-lag-ms": "300",
            "log-level": "warn",
            ...this.options.settings,
        };
    }
}

const waitUntilSuccessful = async (url: string, timeoutMs: number, getOutput: () => string): Promise<void> => {
    const deadline = performance.now() + timeoutMs;
    for (;;) {
        try {
            const response = await request(url, { headersTimeout: 1_000 });
            await response.body.dump();
            if (response.statusCode === 200) {
                return;
            }
        }
        catch {
            // Not listening yet.
        }
        if (performance.now() > deadline) {
            throw new Error(`${url} did not respond with status 200 in time; output: ${getOutput().slice(-2_000)}`);
        }
        await new Promise(resolvePause => setTimeout(resolvePause, 30));
    }
};

export { waitFor };
