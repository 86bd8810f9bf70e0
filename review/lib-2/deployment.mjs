/** A small deployment: the programs of deploy/system.toml as processes on loopback, an operator and a record. */

import { spawn } from "node:child_process";
import { appendFileSync, mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";
import { Forwarder } from "./forwarder.mjs";
import { call } from "./worker.mjs";

export const root = resolve(import.meta.dirname, "../..");
export const zones = ["north", "south", "west"];
export const service = "desk";
export const queueHost = "queues.example";
export const pathPrefix = "/check/";

const ports = { control: 8_166, front: 8_161, ready: 8_167, internal: 7_720, worker: 8_080 };

export const pause = duration => new Promise(done => setTimeout(done, duration));

/** False when the condition does not hold within `limitMs`. */
export const waitUntil = async (condition, limitMs, periodMs = 20) => {
    const deadline = performance.now() + limitMs;
    while (!await condition()) {
        if (performance.now() > deadline) {
            return false;
        }
        await pause(periodMs);
    }
    return true;
};

const canListen = (host, port) =>
    new Promise(done => {
        const server = createServer();
        server.once("error", () => done(false));
        server.listen(port, host, () => server.close(() => done(true)));
    });

/** First numbers of loopback addresses on which nothing listens at the ports that are used. */
const findNetwork = async () => {
    for (let attempt = 0; attempt < 50; attempt++) {
        const network = `127.${20 + Math.floor(Math.random() * 30)}.${Math.floor(Math.random() * 250)}`;
        const checks = Object.values(ports).map(port => canListen(`${network}.1`, port));
        if ((await Promise.all(checks)).every(Boolean)) {
            return network;
        }
    }
    throw new Error("no free loopback network");
};

/** The command of a role in the deploy file. */
const getCommand = role => {
    const text = readFileSync(join(root, "deploy/system.toml"), "utf8");
    const section = text.split(`[roles.${role}]`)[1];
    return /^run = "(.*)"$/m.exec(section)[1].split(" ");
};

export class Deployment {
    machines = new Map();
    startedAt = performance.now();
    folder = mkdtempSync(join(tmpdir(), "review-"));

    /** `caseFolder` gets `record.txt`. */
    static async create(caseFolder) {
        const deployment = new Deployment();
        deployment.network = await findNetwork();
        deployment.recordPath = join(caseFolder, "record.txt");
        writeFileSync(deployment.recordPath, "");
        process.on("exit", () => deployment.end());
        ["SIGINT", "SIGTERM"].forEach(signal => process.on(signal, () => process.exit(2)));
        setTimeout(() => {
            deployment.record("the case did not end in time");
            process.exit(2);
        }, 115_000).unref();
        return deployment;
    }

    record(line) {
        const seconds = ((performance.now() - this.startedAt) / 1_000).toFixed(3);
        appendFileSync(this.recordPath, `${seconds} ${line}\n`);
    }

    /** The addresses of the first three control machines, as in the seeds of every machine. */
    get seeds() {
        return [1, 2, 3].map(number => `${this.network}.${number}:${ports.control}`);
    }

    get controls() {
        return [...this.machines.values()]
            .filter(({ role }) => role === "control")
            .map(({ ip }) => `${ip}:${ports.control}`);
    }

    getFront(name) {
        return `${this.machines.get(name).ip}:${ports.front}`;
    }

    getWorkerAddress(number) {
        return { host: `${this.network}.${100 + number}`, port: ports.worker };
    }

    addMachine(name, role, number, zone, { bootstrap = true, listenIp } = {}) {
        const dataFolder = join(this.folder, `${name}-data`);
        mkdirSync(dataFolder, { recursive: true });
        this.machines.set(name, { name, role, zone, ip: `${this.network}.${number}`, bootstrap, dataFolder, listenIp });
    }

    /** A control machine whose ports for other processes are reached through forwarders; returns these. */
    async addForwardedControl(name, number, zone) {
        const listenIp = `${this.network}.${200 + number}`;
        this.addMachine(name, "control", number, zone, { listenIp });
        const { ip } = this.machines.get(name);
        const forwarders = [ports.internal, ports.internal + 1].map(port =>
            new Forwarder({ host: ip, port }, { host: listenIp, port })
        );
        await Promise.all(forwarders.map(({ listening }) => listening));
        return forwarders;
    }

    start(name) {
        const machine = this.machines.get(name);
        const { bootstrap } = machine;
        const path = join(this.folder, `${name}.json`);
        writeFileSync(path, JSON.stringify(this.getSettings(machine)));
        const [command, ...words] = getCommand(machine.role);
        const child = spawn(command, words, {
            cwd: root,
            env: { PATH: process.env["PATH"], HOME: process.env["HOME"], ANVILMUX_CONFIG: path },
            stdio: ["ignore", "pipe", "pipe"],
        });
        machine.child = child;
        // True only when the whole system starts for the first time.
        machine.bootstrap = false;
        machine.log ??= "";
        const keep = chunk => machine.log += chunk;
        child.stdout.on("data", keep);
        child.stderr.on("data", keep);
        child.once("exit", (code, signal) => {
            machine.child = machine.child === child ? undefined : machine.child;
            this.record(`process ${name} ended, code ${code ?? "-"}, signal ${signal ?? "-"}`);
        });
        this.record(`process ${name} started, bootstrap ${bootstrap}`);
    }

    signal(name, signal) {
        this.machines.get(name).child?.kill(signal);
        this.record(`signal ${signal} to ${name}`);
    }

    /** Kills a process and resolves when it has ended. */
    async kill(name) {
        const { child } = this.machines.get(name);
        if (child) {
            const ended = new Promise(done => child.once("exit", done));
            this.signal(name, "SIGKILL");
            await ended;
        }
    }

    getConfiguration(version, timeoutMs = 1_500) {
        return JSON.stringify({
            version,
            routes: [{
                name: "r-check",
                host: queueHost,
                path_prefix: pathPrefix,
                type: "non_idempotent",
                timeout_ms: timeoutMs,
                target_latency_ms: 60,
                priority: 0,
                service,
                max_attempts: 3,
                stretch: 1.6,
            }],
            services: [{
                name: service,
                health_path: "/health",
                max_conns: 64,
                protocol: "h1",
                tls: false,
                enforces_capacity: true,
                standby: false,
            }],
            limits: {
                max_header_bytes: 16_384,
                max_body_bytes: 262_144,
                header_timeout_ms: 3_000,
                idle_timeout_ms: 15_000,
            },
        });
    }

    /** Sends a configuration to each control machine in turn until it is acknowledged; false when that takes too long. */
    async putConfiguration(body, limitMs) {
        const deadline = performance.now() + limitMs;
        for (let attempt = 0; performance.now() < deadline; attempt++) {
            const { controls } = this;
            const control = controls[attempt % controls.length];
            const answer = await call(control, "POST", "/-/config/put", { body, timeoutMs: 1_000 });
            this.record(`configuration sent to ${control}, answer ${answer.status || answer.text}`);
            if (answer.status === 200) {
                return true;
            }
            await pause(Math.min(500, 50 * 2 ** attempt));
        }
        return false;
    }

    async isReady(name) {
        const { ip } = this.machines.get(name);
        return (await call(`${ip}:${ports.ready}`, "GET", "/-/readiness", { timeoutMs: 1_000 })).status === 200;
    }

    /** Hands a job in, as a client does. */
    async submit(front, id, job, deadlineMs, onClosable) {
        this.record(`client sends job ${id} to ${front}`);
        const answer = await call(front, "POST", pathPrefix + id, {
            body: JSON.stringify(job),
            headers: { "host": queueHost, "anvilmux-deadline-ms": String(deadlineMs) },
            timeoutMs: deadlineMs,
            onClosable,
        });
        this.record(`client gets ${answer.status || "no status"} ${answer.text} for job ${id}`);
        return answer;
    }

    /** Ends all processes and removes the folder. */
    end() {
        for (const { child } of this.machines.values()) {
            child?.kill("SIGKILL");
        }
        if (process.env["KEEP_LOGS"]) {
            this.machines.forEach(({ name, log }) =>
                writeFileSync(join(process.env["KEEP_LOGS"], `${name}.log`), log ?? "")
            );
        }
        rmSync(this.folder, { recursive: true, force: true });
    }

    getSettings({ name, role, zone, ip, bootstrap, dataFolder, listenIp }) {
        const isControl = role === "control";
        return {
            node_name: name,
            role,
            machine_class: isControl ? "core" : "edge",
            serves: [isControl ? "control" : "edge"],
            ip,
            ...listenIp ? { listen_ip: listenIp } : {},
            zone,
            region: "home",
            zones: Object.fromEntries(zones.map(zoneName => [zoneName, "home"])),
            listen: isControl
                ? { control: `${ip}:${ports.control}` }
                : { front: `${ip}:${ports.front}`, ready: `${ip}:${ports.ready}` },
            internal_ports: [ports.internal, ports.internal + 15],
            seeds: this.seeds,
            bootstrap,
            in_tolerance: isControl,
            limits: { cpu_share: 0.675, cores: 1, memory_mb: 350, max_fds: 4_100, link_mbps: 1_000, disk_mb: 128 },
            ...isControl ? { data_dir: dataFolder } : {},
            discovery: "registry",
            entry: "vip",
            heartbeat_ms: 1_500,
            contracts: ["base", "drain", "config", "cost", "recover", "sched"],
            fault_tolerance: { machines: 1, zones: 1, regions: 0 },
            bounds: { contact_ms: 3_000, ack_ms: 4_000, grace_s: 6, config_apply_ms: 2_000, max_hold_ms: 1_000 },
            config_mode: "highest",
            orders: "invocation",
        };
    }
}
