// The project's programs as separate processes, with the commands of the deploy file, on loopback addresses.
import { spawn } from "node:child_process";
import { createWriteStream, mkdirSync, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";
import { call } from "./http.mjs";
import { waitUntil } from "./record.mjs";

const root = resolve(import.meta.dirname, "..", "..");
const flags = ["--max-old-space-size=200", "--no-memory-reducer"];
const ports = { front: 8161, ready: 8167, control: 8166, internal: [7720, 7735] };

/** The bounds of the site `konut-endeks`, as its settings files show them. */
const bounds = {
    seed_lag_s: 3,
    reuse_after_s: 2,
    contact_ms: 3000,
    ack_ms: 4000,
    catch_up_s: 4,
    drain_ms: 2000,
    grace_s: 6,
    loss_slack_ms: 200,
    config_apply_ms: 2000,
    rollback_slack_ms: 250,
    max_stretch_ms: 5000,
    recovery_s: 12,
    max_hold_ms: 1000,
    stop_ms: 50,
    cancel_ms: 3000,
    visible_ms: 3000,
    lease_ms: 3000,
    retransmit_ms: 1300,
};

export const zones = ["cankaya", "yenimahalle", "etimesgut"];

const canListen = (host, port) =>
    new Promise(done => {
        const server = createServer();
        server.once("error", () => done(false));
        server.listen(port, host, () => server.close(() => done(true)));
    });

/** A second number of loopback addresses whose ports are free. */
const findNetwork = async () => {
    for (let tries = 0; tries < 50; tries++) {
        const network = 20 + Math.floor(Math.random() * 200);
        const needed = [ports.front, ports.control, ports.internal[0], 9464];
        const free = await Promise.all(needed.map(port => canListen(`127.${network}.1.1`, port)));
        if (free.every(Boolean)) {
            return network;
        }
    }
    throw new Error("no free loopback network");
};

export class Deployment {
    /** `entries`: number of entries by zone. One control instance is in each zone. */
    static async create({ record, entries }) {
        const network = await findNetwork();
        return new Deployment(record, network, entries);
    }

    constructor(record, network, entries) {
        this.record = record;
        this.network = network;
        this.folder = mkdtempSync(join(tmpdir(), "anvilmux-review-"));
        this.machines = new Map();
        const add = (role, zone, number) => {
            const name = `${role === "control" ? "core" : "edge"}-${zone}-${number}`;
            const ip = `127.${network}.1.${this.machines.size + 1}`;
            this.machines.set(name, { name, role, zone, ip, child: undefined, expected: false });
        };
        zones.forEach(zone => add("control", zone, 1));
        zones.forEach((zone, index) => {
            for (let number = 1; number <= entries[index]; number++) {
                add("entry", zone, number);
            }
        });
        /** Ends that the script did not cause. */
        this.unexpectedEnds = [];
        process.on("exit", () => this.killNow());
        ["SIGINT", "SIGTERM"].forEach(signal => process.on(signal, () => process.exit(2)));
    }

    get controls() {
        return [...this.machines.values()].filter(({ role }) => role === "control");
    }

    getEntries(zone) {
        return [...this.machines.values()].filter(machine =>
            machine.role === "entry" && (zone === undefined || machine.zone === zone)
        );
    }

    get controlAddresses() {
        return this.controls.map(({ ip }) => `${ip}:${ports.control}`);
    }

    getFront({ ip }) {
        return `${ip}:${ports.front}`;
    }

    getDataFolder(name) {
        return join(this.folder, `${name}-data`);
    }

    startAll() {
        this.machines.forEach(({ name }) => this.start(name));
    }

    start(name) {
        const machine = this.machines.get(name);
        const settingsPath = join(this.folder, `${name}.json`);
        writeFileSync(settingsPath, JSON.stringify(this.getSettings(machine)));
        const log = createWriteStream(join(this.folder, `${name}.log`), { flags: "a" });
        const child = spawn(process.execPath, [...flags, "target/platform/main.js", machine.role], {
            cwd: root,
            env: { PATH: process.env["PATH"], ANVILMUX_CONFIG: settingsPath },
            stdio: ["ignore", "pipe", "pipe"],
        });
        child.stdout.pipe(log);
        child.stderr.pipe(log, { end: false });
        machine.child = child;
        machine.expected = false;
        this.record.add(`process ${name} started`);
        child.once("exit", (code, signal) => {
            this.record.add(`process ${name} ended, code ${code ?? "-"}, signal ${signal ?? "-"}`);
            if (machine.child === child) {
                machine.child = undefined;
                if (!machine.expected) {
                    this.unexpectedEnds.push(name);
                }
            }
        });
    }

    signal(name, signal) {
        const machine = this.machines.get(name);
        if (signal === "SIGKILL" || signal === "SIGTERM") {
            machine.expected = true;
        }
        machine.child?.kill(signal);
        this.record.add(`signal ${signal} to ${name}`);
    }

    isRunning(name) {
        return this.machines.get(name).child !== undefined;
    }

    isReady({ ip }) {
        return call({ method: "GET", address: `${ip}:${ports.ready}`, path: "/-/readiness", timeoutMs: 500 })
            .then(({ status }) => status === 200);
    }

    /** True once all entries are ready. */
    waitForEntries(limitMs) {
        return waitUntil(
            async () => (await Promise.all(this.getEntries().map(entry => this.isReady(entry)))).every(Boolean),
            limitMs,
        );
    }

    killNow() {
        this.machines.forEach(machine => {
            machine.expected = true;
            machine.child?.kill("SIGKILL");
        });
    }

    async close({ keepLogs = false } = {}) {
        this.killNow();
        await waitUntil(async () => [...this.machines.values()].every(({ child }) => !child), 5_000);
        if (!keepLogs) {
            rmSync(this.folder, { recursive: true, force: true });
        }
    }

    getSettings({ name, role, zone, ip }) {
        const isControl = role === "control";
        const dataFolder = this.getDataFolder(name);
        if (isControl) {
            mkdirSync(dataFolder, { recursive: true });
        }
        return {
            node_name: name,
            role,
            machine_class: isControl ? "core" : "edge",
            serves: [isControl ? "control" : "edge"],
            ip,
            zone,
            region: "ic-anadolu",
            zones: Object.fromEntries(zones.map(item => [item, "ic-anadolu"])),
            listen: isControl
                ? { control: `${ip}:${ports.control}` }
                : { front: `${ip}:${ports.front}`, ready: `${ip}:${ports.ready}` },
            internal_ports: ports.internal,
            seeds: this.controlAddresses,
            bootstrap: true,
            in_tolerance: isControl,
            limits: {
                cpu_share: 0.675,
                cores: isControl ? 2 : 1,
                memory_mb: isControl ? 346 : 350,
                max_fds: isControl ? 4096 : 4100,
                link_mbps: 1000,
                disk_mb: isControl ? 128 : 0,
            },
            ...isControl ? { data_dir: dataFolder } : {},
            discovery: "registry",
            entry: "vip",
            heartbeat_ms: 1500,
            fault_tolerance: { machines: 1, zones: 1, regions: 0 },
            bounds,
            config_mode: "highest",
            orders: "invocation",
        };
    }
}
