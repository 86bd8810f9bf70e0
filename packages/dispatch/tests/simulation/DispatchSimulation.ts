/**
 * Two zones with entries, workers and callers on virtual time, under seeded faults: owners that come, go and return,
 * two owners at once, entries that stall, connections that lose messages, and latencies of up to seconds.
 */

import { newRandom, pickOne, toAddress, toZoneId, VirtualTime } from "@anvilmux/common";
import type { Milliseconds, Random } from "@anvilmux/common";
import { toWorkerId } from "@anvilmux/dispatch";
import type { JobRequest } from "@anvilmux/dispatch";
import { LeasedWorker } from "@anvilmux/stand-ins";
import type { LogFields, Logger } from "@anvilmux/telemetry";
import { CallRecords, getJobOf } from "./CallRecords";
import { newSimulatedRequest } from "./newSimulatedRequest";
import { SimulatedCaller } from "./SimulatedCaller";
import { SimulatedEntry } from "./SimulatedEntry";

export interface SimulationOptions {
    readonly seed: number;
    /** Share of the messages that take up to `longestLatencyMs`; the others take a few milliseconds. */
    readonly slowShare: number;
    readonly longestLatencyMs: Milliseconds;
    readonly longestStallMs: Milliseconds;
    readonly resubmitDelayMs: Milliseconds;
    /** Receives the events of the run, to find the cause of a failed check. */
    readonly trace?: (line: string) => void;
}

interface Zone {
    readonly name: string;
    readonly entries: readonly SimulatedEntry[];
}

const entriesPerZone = 3;
const workersPerZone = 2;
const jobCount = 60;
const jobPeriodMs = 70;
const faultPeriodMs = 120;
const firstToken = 1_000;
/** Time in which the owner of a higher token may announce itself before a refused token is raised. */
const fencedTimeoutMs = 250;
/** Time after the last fault in which every caller gets its answer. */
const drainMs = 16_000;
const taskMillicores = 6_000;
const room = { millicores: 16_000, memoryMebibytes: 32_768, accelerators: 0 };

export class DispatchSimulation {
    readonly records = new CallRecords();
    private readonly time = new VirtualTime();
    private readonly random: Random;
    private readonly zones: readonly Zone[];
    private readonly runTimes = new Map<string, Milliseconds>();
    private highestToken = firstToken;

    constructor(private readonly options: SimulationOptions) {
        this.random = newRandom(options.seed);
        this.zones = ["cork", "sligo"].map((name, index) => this.newZone(name, index));
    }

    /** Plays all jobs and faults, and then waits until every caller has its answer. */
    async run(): Promise<void> {
        this.zones.forEach(({ entries }) => this.claim(entries[0]!));
        await this.time.advance(200);
        for (let number = 1; number <= jobCount; number++) {
            this.time.after(number * jobPeriodMs, () => this.submitJob(number));
        }
        const faults = Math.floor(jobCount * jobPeriodMs / faultPeriodMs);
        for (let number = 1; number <= faults; number++) {
            this.time.after(number * faultPeriodMs, () => this.injectFault());
        }
        await this.time.advance(jobCount * jobPeriodMs + drainMs);
    }

    private newZone(name: string, index: number): Zone {
        const workers = Array.from(
            { length: workersPerZone },
            (_, number) => this.newWorker(name, index * workersPerZone + number + 1),
        );
        const entries = Array.from({ length: entriesPerZone }, (_, number) =>
            new SimulatedEntry({
                id: `${name}-${number + 1}`,
                zone: name,
                time: this.time,
                workers,
                drawLatency: () => this.drawLatency(),
                onFenced: (entry, token) => this.handleFenced(entry, token),
                onOutranked: entry => this.claim(entry),
                logger: this.newLogger(`${name}-${number + 1}`),
            }));
        return { name, entries };
    }

    private newWorker(zone: string, number: number): LeasedWorker {
        return new LeasedWorker({
            announcement: {
                id: toWorkerId(`worker-${number}`),
                incarnation: 1,
                sequence: 1,
                service: "desk",
                address: toAddress(`127.0.0.1:${number}`),
                zone: toZoneId(zone),
                state: "ready",
                room,
            },
            clock: this.time,
            timers: this.time,
            getRunMs: task => this.runTimes.get(getJobOf(task)) ?? 100,
            getResources: () => ({ millicores: taskMillicores, memoryMebibytes: 64, accelerators: 0 }),
            onStart: (task, run) => {
                this.trace(`worker-${number}`, "run started", { task, run });
                this.records.recordStart(task);
            },
            onCompletion: (task, run, how) => {
                this.trace(`worker-${number}`, "run ended", { task, run, how });
                this.records.recordEnd(task);
            },
        });
    }

    private trace(source: string, message: string, fields: LogFields = {}): void {
        this.options.trace?.(`${this.time.now()} ${source}: ${message} ${JSON.stringify(fields)}`);
    }

    private newLogger(source: string): Logger {
        const log = (message: string, fields?: LogFields) => this.trace(source, message, fields);
        const logger: Logger = { debug: log, info: log, warn: log, error: log, with: () => logger };
        return logger;
    }

    private drawLatency(): Milliseconds {
        const { slowShare, longestLatencyMs } = this.options;
        return 1 + this.random.integer(this.random.next() < slowShare ? longestLatencyMs : 5);
    }

    private submitJob(number: number): void {
        const entries = this.zones.flatMap(zone => zone.entries);
        const caller = new SimulatedCaller({
            time: this.time,
            random: this.random,
            records: this.records,
            entries,
            request: this.newRequest(`job-${number}`),
            resubmitDelayMs: this.options.resubmitDelayMs,
        });
        caller.submit(pickOne(this.random, entries)!);
    }

    private newRequest(id: string): JobRequest {
        const runMs = 50 + this.random.integer(600);
        this.runTimes.set(id, runMs);
        return newSimulatedRequest({
            id,
            taskCount: 1 + this.random.integer(3),
            taskMillicores,
            runMs,
            attempts: 2,
            objectiveMs: 300 + this.random.integer(1_200),
            remainingMs: 2_000 + this.random.integer(3_000),
        });
    }

    private injectFault(): void {
        const zone = pickOne(this.random, this.zones)!;
        const entry = pickOne(this.random, zone.entries)!;
        switch (this.random.integer(6)) {
            case 0:
                this.claim(entry);
                return;
            case 1:
                this.release(zone, entry);
                return;
            case 2:
                this.chooseOwner(zone, entry);
                return;
            case 3:
                entry.disconnect(pickOne(this.random, zone.entries)!);
                return;
            case 4:
                entry.stalledUntil = this.time.now() + this.random.integer(this.options.longestStallMs);
                return;
            default:
                this.connectOwners();
        }
    }

    private claim(entry: SimulatedEntry): void {
        this.highestToken += 1;
        entry.claimWorkers(this.highestToken);
        this.connectOwners();
        const others = this.zones.find(zone => zone.name === entry.zone)!.entries;
        others.forEach(other => this.chooseOwner({ name: entry.zone, entries: others }, other));
    }

    /** Ends an entry's claim while another entry of its zone claims, too. */
    private release(zone: Zone, entry: SimulatedEntry): void {
        const claimants = getClaimants(zone).filter(other => other !== entry);
        if (entry.claim > 0 && claimants.length > 0) {
            entry.releaseWorkers(pickOne(this.random, claimants));
            zone.entries.forEach(other => this.chooseOwner(zone, other));
            this.connectOwners();
        }
    }

    /** An entry without a claim takes any entry that claims for the owner. */
    private chooseOwner(zone: Zone, entry: SimulatedEntry): void {
        if (entry.claim === 0) {
            entry.setOwner(pickOne(this.random, getClaimants(zone)));
        }
    }

    /** Each owner takes any owner of the other zone for the one to which it forwards tasks. */
    private connectOwners(): void {
        for (const zone of this.zones) {
            const others = this.zones.filter(other => other !== zone).flatMap(getClaimants);
            getClaimants(zone).forEach(owner => owner.setRemoteOwner(pickOne(this.random, others)));
        }
    }

    private handleFenced(entry: SimulatedEntry, token: number): void {
        this.time.after(fencedTimeoutMs, () => {
            if (entry.claim === token) {
                this.claim(entry);
            }
        });
    }
}

const getClaimants = (zone: Zone): readonly SimulatedEntry[] => zone.entries.filter(entry => entry.claim > 0);
