/** The real programs as separate processes, each on a loopback address of its own, with forwarders before their listeners. */

import { toAddress } from "@anvilmux/common";
import type { Address, Milliseconds } from "@anvilmux/common";
import { isEntryReady, settingsVariable, toSettingsText } from "@anvilmux/platform";
import { spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { createWriteStream, mkdirSync, rmSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { findConnectionSource } from "./findConnectionSource";
import { Forwarder } from "./Forwarder";
import { graceMs, programs } from "./layout";
import type { Program } from "./types";

export interface DeploymentOptions {
    /** Settings, logs and data of the processes. */
    readonly folder: string;
    /** The program of the platform, as built. */
    readonly programPath: string;
    /** Second number of the loopback addresses, which differs between plays that run at the same time. */
    readonly network: number;
    /** False for programs that can only listen on the address that they announce: no faults between programs. */
    readonly hasForwardersBetween: boolean;
    /** Called when a process has ended by itself. */
    readonly onUnexpectedEnd: (name: string, detail: string) => void;
}

interface Machine {
    readonly program: Program;
    readonly listenHost: string;
    readonly announcedHost: string;
    child: ChildProcess | undefined;
    /** False while the process is meant to run. */
    isEnding: boolean;
    hasStarted: boolean;
}

/** The same ports on every address: for callers, the operator and workers; for readiness checks; the first of those between programs. */
const servicePort = 7_410;
const readinessPort = 7_411;
const firstInternalPort = 7_420;
const internalPortCount = 3;
const memoryLimitFlags = ["--max-old-space-size=200", "--no-memory-reducer"];
const pollMs: Milliseconds = 100;

export class Deployment {
    /** Forwarders before the ports between programs, by program. */
    readonly internalForwarders: Forwarder[] = [];
    /** The forwarder before the port for callers, by entry. */
    readonly callerForwarders = new Map<string, Forwarder>();
    private readonly machines: ReadonlyMap<string, Machine>;

    private constructor(private readonly options: DeploymentOptions) {
        const { network } = options;
        this.machines = new Map(programs.map((program, index) => [program.name, {
            program,
            listenHost: `127.${network}.1.${index + 1}`,
            announcedHost: `127.${network}.${options.hasForwardersBetween ? 2 : 1}.${index + 1}`,
            child: undefined,
            isEnding: false,
            hasStarted: false,
        }]));
        process.on("exit", () => this.machines.forEach(({ child }) => child?.kill("SIGKILL")));
    }

    static async create(options: DeploymentOptions): Promise<Deployment> {
        const deployment = new Deployment(options);
        mkdirSync(options.folder, { recursive: true });
        await deployment.startForwarders();
        return deployment;
    }

    /** Addresses of control instances for workers and the operator. */
    get controlAddresses(): ReadonlyMap<string, Address> {
        return new Map(this.select("control").map(machine => [machine.program.name, this.getServiceAddress(machine)]));
    }

    /** The address at which a worker can listen; each has a number of its own. */
    getWorkerAddress(number: number): Address {
        const { network } = this.options;
        return toAddress(`127.${network}.${4 + Math.floor(number / 200)}.${1 + number % 200}:${servicePort}`);
    }

    getCallerAddress(name: string): Address {
        return toAddress(`127.${this.options.network}.3.${this.getNumber(name)}:${servicePort}`);
    }

    isReady(name: string): Promise<boolean> {
        return isEntryReady(toAddress(`${this.machines.get(name)!.listenHost}:${readinessPort}`));
    }

    startAll(): void {
        programs.forEach(({ name }) => this.start(name));
    }

    start(name: string): void {
        const machine = this.machines.get(name)!;
        if (machine.child) {
            return;
        }
        machine.isEnding = false;
        const settingsPath = join(this.options.folder, `${name}.json`);
        writeFileSync(settingsPath, this.getSettingsText(machine));
        machine.hasStarted = true;
        const log = createWriteStream(join(this.options.folder, `${name}.log`), { flags: "a" });
        const child = spawn(process.execPath, [...memoryLimitFlags, this.options.programPath, machine.program.role], {
            env: { PATH: process.env["PATH"], [settingsVariable]: settingsPath },
            stdio: ["ignore", "pipe", "pipe"],
        });
        child.stdout.pipe(log, { end: false });
        child.stderr.pipe(log, { end: false });
        machine.child = child;
        child.once("exit", (code, signal) => {
            machine.child = undefined;
            if (!machine.isEnding) {
                this.options.onUnexpectedEnd(name, `code ${code ?? "-"}, signal ${signal ?? "-"}`);
            }
        });
    }

    /** Stops or resumes a process, as the machine under it would. */
    pause(name: string): void {
        this.machines.get(name)!.child?.kill("SIGSTOP");
    }

    resume(name: string): void {
        this.machines.get(name)!.child?.kill("SIGCONT");
    }

    async kill(name: string): Promise<void> {
        await this.end(name, "SIGKILL");
    }

    /** Asks a process to stop, and kills it after the grace period. */
    async stop(name: string): Promise<void> {
        const timer = setTimeout(() => void this.kill(name), graceMs);
        await this.end(name, "SIGTERM");
        clearTimeout(timer);
    }

    async killAll(): Promise<void> {
        await Promise.all(programs.map(({ name }) => this.kill(name)));
    }

    loseDisk(name: string): void {
        rmSync(join(this.options.folder, `${name}-data`), { recursive: true, force: true });
    }

    async close(): Promise<void> {
        await this.killAll();
        [...this.internalForwarders, ...this.callerForwarders.values()].forEach(forwarder => forwarder.close());
    }

    private async end(name: string, signal: NodeJS.Signals): Promise<void> {
        const machine = this.machines.get(name)!;
        const { child } = machine;
        if (!child) {
            return;
        }
        machine.isEnding = true;
        const ended = new Promise(resolve => child.once("exit", resolve));
        child.kill(signal);
        await ended;
    }

    private async startForwarders(): Promise<void> {
        const findSource = (port: number, forwarderPort: number) =>
            findConnectionSource(port, forwarderPort, this.getProcessIds());
        for (const machine of this.machines.values()) {
            const { program: { name, role }, listenHost, announcedHost } = machine;
            if (role === "entry") {
                const to = this.getServiceAddress(machine);
                const from = this.getCallerAddress(name);
                this.callerForwarders.set(name, new Forwarder({ name, from, to, findSource: () => undefined }));
            }
            for (let offset = 0; this.options.hasForwardersBetween && offset < internalPortCount; offset++) {
                const [from, to] = [announcedHost, listenHost].map(host =>
                    toAddress(`${host}:${firstInternalPort + offset}`)
                );
                this.internalForwarders.push(new Forwarder({ name, from: from!, to: to!, findSource }));
            }
        }
        const forwarders = [...this.internalForwarders, ...this.callerForwarders.values()];
        await Promise.all(forwarders.map(forwarder => forwarder.listen()));
    }

    private getProcessIds(): ReadonlyMap<string, number> {
        return new Map(
            [...this.machines].flatMap(([name, { child }]) =>
                child?.pid === undefined ? [] : [[name, child.pid] as const]
            ),
        );
    }

    private getSettingsText({ program, listenHost, announcedHost, hasStarted }: Machine): string {
        const { name, role, zone } = program;
        const dataFolder = join(this.options.folder, `${name}-data`);
        if (role === "control") {
            mkdirSync(dataFolder, { recursive: true });
        }
        return toSettingsText({
            name,
            role,
            zone,
            host: announcedHost,
            listenHost,
            listen: role === "control"
                ? { control: toAddress(`${listenHost}:${servicePort}`) }
                : {
                    front: toAddress(`${listenHost}:${servicePort}`),
                    ready: toAddress(`${listenHost}:${readinessPort}`),
                },
            firstInternalPort,
            seeds: this.select("control").map(control => toAddress(`${control.announcedHost}:${servicePort}`)),
            isFirstStart: !hasStarted,
            dataFolder: role === "control" ? dataFolder : undefined,
            graceMs,
        });
    }

    private select(role: Program["role"]): readonly Machine[] {
        return [...this.machines.values()].filter(({ program }) => program.role === role);
    }

    private getNumber(name: string): number {
        return programs.findIndex(program => program.name === name) + 1;
    }

    private getServiceAddress({ listenHost }: Machine): Address {
        return toAddress(`${listenHost}:${servicePort}`);
    }
}

/** False when the condition does not hold within `limitMs`. */
export const waitUntil = async (condition: () => Promise<boolean>, limitMs: Milliseconds): Promise<boolean> => {
    const deadline = performance.now() + limitMs;
    while (!await condition()) {
        if (performance.now() > deadline) {
            return false;
        }
        await pause(pollMs);
    }
    return true;
};

export const pause = (duration: Milliseconds): Promise<void> => new Promise(resolve => setTimeout(resolve, duration));
