/** Costs by size for docs/CAPACITY.md: lines fitted to at least four sizes each, with their largest residual. */

import { MemoryFiles, newRandom, newSystemClock, newSystemTimers, toAddress } from "@anvilmux/common";
import { ControlState, ReplicaStorage } from "@anvilmux/control";
import { WorkerIndex } from "@anvilmux/jobs";
import { newSigningKeyPair, signManifest, verifyEnvelope } from "@anvilmux/manifest";
import { ClaimCommandSchema, CommandSchema, ControlSnapshotSchema, LogEntrySchema } from "@anvilmux/protocol";
import { admitWithinDeadline, getTargetStart, newLeastInUse, RunTimes, SlotScheduler } from "@anvilmux/routing";
import { newSilentLogger } from "@anvilmux/telemetry";
import { create, toBinary } from "@bufbuild/protobuf";
import { getProcessorMs } from "../processCost";
import { ProcessDeployment } from "../ProcessDeployment";
import { benchManifest, callerToken, newLoadGenerator, service } from "../requestPath";
import { fitLine, round } from "../statistics";
import type { Bench, Metrics } from "../types";

type Point = readonly [number, number];

/** Measured points and the line fitted through them, as metrics with a common prefix. */
const describeLine = (name: string, points: readonly Point[], digits = 4): Metrics => {
    const { slope, intercept, residual } = fitLine(points);
    return {
        ...Object.fromEntries(points.map(([size, value]) => [`${name}At${size}`, round(value, digits)])),
        [`${name}Slope`]: round(slope, digits + 3),
        [`${name}Intercept`]: round(intercept, digits),
        [`${name}Residual`]: round(residual, digits),
    };
};

const measureMicroseconds = (count: number, run: () => void): number => {
    const startedAt = performance.now();
    for (let number = 0; number < count; number++) {
        run();
    }
    return (performance.now() - startedAt) * 1_000 / count;
};

/** Time of one slot request, grant and release, by the number of upstreams in the zone. */
const measureGrant = (upstreams: number): number => {
    const clock = newSystemClock();
    const runTimes = new RunTimes(clock);
    const scheduler = new SlotScheduler({
        clock,
        timers: newSystemTimers(),
        logger: newSilentLogger(),
        runTimes,
        policy: {
            admit: admitWithinDeadline,
            getOrderKey: getTargetStart,
            chooseUpstream: newLeastInUse(newRandom(1)),
            protectsShortWork: true,
        },
        getTeamShare: () => 1,
        takeRemoteFreeSlot: () => false,
    });
    scheduler.updateUpstreams(Array.from({ length: upstreams }, (_unused, number) => ({
        id: `upstream-${number}`,
        address: toAddress(`127.0.0.1:${number}`),
        slots: 8,
        connectionsPerEntry: 8,
    })));
    let id = 0;
    const runOne = () => {
        const now = clock.now();
        scheduler.request({
            id: `request-${id++}`,
            entryId: "entry",
            kind: "screen",
            team: "touring",
            urgent: true,
            enqueuedAt: now,
            deadline: now + 1_000,
            expectedRun: 100,
            plannedRun: 100,
            long: false,
            excludedUpstreams: [],
            forwarded: false,
            maySpill: false,
        }, decision => {
            if (decision.granted) {
                scheduler.release(decision.grantId, "answered", 100);
            }
        });
    };
    measureMicroseconds(3_000, runOne);
    const microseconds = measureMicroseconds(6_000, runOne);
    scheduler.stop();
    return microseconds;
};

/** Time of one task placement with its release, by the number of workers. */
const measurePlacement = (workers: number): number => {
    const index = new WorkerIndex(newRandom(1));
    const needed = { processors: 1, memoryMebibytes: 512, accelerators: 0 };
    for (let number = 0; number < workers; number++) {
        index.add(`worker-${number}`, `rack-${number >> 3}`, {
            processors: 16,
            memoryMebibytes: 32_768,
            accelerators: 0,
        });
    }
    const placeOne = () => {
        const worker = index.find(needed)!;
        index.use(worker.id, needed);
        index.use(worker.id, needed, -1);
    };
    measureMicroseconds(20_000, placeOne);
    return measureMicroseconds(60_000, placeOne);
};

interface ClaimCost {
    readonly heapBytes: number;
    readonly snapshotMs: number;
    readonly applyMicroseconds: number;
}

/** Heap per claim, time to apply one and time to encode a snapshot, by the number of claims held. */
const measureClaims = (claims: number): ClaimCost => {
    const heapBefore = getHeapBytes();
    const state = new ControlState();
    let index = 0;
    const applyMicroseconds = measureMicroseconds(claims, () => {
        index += 1;
        const value = create(ClaimCommandSchema, {
            key: `call/touring/rider-desk/key-${index}`,
            requestDigest: `digest-${index}`.padEnd(64, "0"),
            holder: `entry/${index}`,
            wallMs: 1,
            retentionMs: 86_400_000,
        });
        state.apply(create(CommandSchema, { kind: { case: "claim", value } }), BigInt(index));
    });
    const heapBytes = (getHeapBytes() - heapBefore) / claims;
    const startedAt = performance.now();
    toBinary(ControlSnapshotSchema, state.toSnapshot());
    return { heapBytes, snapshotMs: performance.now() - startedAt, applyMicroseconds };
};

/** Time to write one batch of log entries, by batch size; the files are in memory, to exclude the disk. */
const measureBatch = async (entries: number): Promise<number> => {
    const storage = await ReplicaStorage.open(new MemoryFiles(), "node");
    const command = new Uint8Array(300);
    const rounds = 40;
    const startedAt = performance.now();
    for (let number = 0; number < rounds; number++) {
        const first = storage.log.lastIndex + 1n;
        storage.log.truncateAndAppend(
            Array.from(
                { length: entries },
                (_unused, position) => create(LogEntrySchema, { index: first + BigInt(position), term: 1n, command }),
            ),
        );
        await storage.log.persist();
    }
    return (performance.now() - startedAt) * 1_000 / rounds;
};

/** Time to verify a signed manifest, and its size, by its number of teams. */
const measureManifest = (teams: number) => {
    const keys = newSigningKeyPair();
    const manifest = {
        ...benchManifest(1) as object,
        teams: Array.from(
            { length: teams },
            (_unused, number) => ({ name: number === 0 ? "touring" : `team-${number}` }),
        ),
    };
    const envelope = signManifest(JSON.stringify(manifest), "key", keys.privateKeyPem);
    const trusted = new Map([["key", keys.publicKeyPem]]);
    const verify = () => void verifyEnvelope(envelope, trusted);
    measureMicroseconds(50, verify);
    return { microseconds: measureMicroseconds(200, verify), bytes: envelope.length };
};

interface CallCost {
    readonly rate: number;
    /** Processor time of the zone's entries, in milliseconds per second. */
    readonly processorMs: number;
    /** Bytes per second between the entries. */
    readonly peerBytes: number;
}

const callRates = [50, 100, 200, 400];
const callDurationMs = 3_000;

/** Processor time and peer traffic of a zone of three entries, by service calls per second. */
const measureCalls = async (): Promise<readonly CallCost[]> => {
    const deployment = new ProcessDeployment({ zones: ["eire-dub"], entries: [3], service, controlCount: 1 });
    await deployment.start();
    await deployment.applyManifest(benchManifest(1));
    await deployment.addUpstreams("eire-dub", 10, 8);
    const generator = newLoadGenerator(deployment, "capacity");
    const runAt = (rate: number) =>
        generator.run({
            service,
            token: callerToken,
            seed: 1,
            duration: callDurationMs,
            kinds: [{ kind: "screen", share: 1, sampleRun: () => 50 }],
            getRate: () => rate,
        });
    await runAt(callRates.at(-1)!);
    const getProcessor = () => deployment.processes.reduce((sum, item) => sum + getProcessorMs(item.child!.pid!), 0);
    const getBytes = async () => {
        const values = await Promise.all(
            deployment.processes.map(item => deployment.getMetric(item.id, "anvilmux_peer_bytes_total")),
        );
        return values.reduce((sum, value) => sum + value, 0);
    };
    const costs: CallCost[] = [];
    for (const rate of callRates) {
        const processorBefore = getProcessor();
        const bytesBefore = await getBytes();
        await runAt(rate);
        const seconds = callDurationMs / 1_000;
        costs.push({
            rate,
            processorMs: (getProcessor() - processorBefore) / seconds,
            peerBytes: (await getBytes() - bytesBefore) / seconds,
        });
    }
    await generator.close();
    await deployment.stop();
    return costs;
};

const getHeapBytes = (): number => {
    (globalThis as { readonly gc?: () => void; }).gc?.();
    return process.memoryUsage().heapUsed;
};

const upstreamSizes = [10, 40, 80, 160];
const workerSizes = [30, 300, 1_000, 2_900];
const claimSizes = [10_000, 20_000, 40_000, 80_000];
const batchSizes = [1, 8, 64, 256];
const teamSizes = [5, 10, 25, 53];

export const capacity: Bench = {
    name: "capacity",
    description: "slopes of state, messages, processor time and memory by size",
    run: async () => {
        const calls = await measureCalls();
        const claims = claimSizes.map(size => ({ size, ...measureClaims(size) }));
        const manifests = teamSizes.map(size => ({ size, ...measureManifest(size) }));
        const batches: Point[] = [];
        for (const size of batchSizes) {
            batches.push([size, await measureBatch(size)]);
        }
        return {
            metrics: {
                ...describeLine("callProcessorMs", calls.map(item => [item.rate, item.processorMs]), 1),
                ...describeLine("callPeerBytes", calls.map(item => [item.rate, item.peerBytes]), 0),
                ...describeLine("grantMicroseconds", upstreamSizes.map(size => [size, measureGrant(size)]), 2),
                ...describeLine("placementMicroseconds", workerSizes.map(size => [size, measurePlacement(size)]), 2),
                ...describeLine("claimHeapBytes", claims.map(item => [item.size, item.heapBytes]), 0),
                ...describeLine("claimApplyMicroseconds", claims.map(item => [item.size, item.applyMicroseconds]), 2),
                ...describeLine("claimSnapshotMs", claims.map(item => [item.size, item.snapshotMs]), 1),
                ...describeLine("batchMicroseconds", batches, 1),
                ...describeLine("manifestVerifyMicroseconds", manifests.map(item => [item.size, item.microseconds]), 0),
                ...describeLine("manifestBytes", manifests.map(item => [item.size, item.bytes]), 0),
            },
            baseline: {},
            targets: [{ metric: "placementMicrosecondsAt2900", bound: "at-most", value: 1_000_000 / 5_000 }],
        };
    },
};
