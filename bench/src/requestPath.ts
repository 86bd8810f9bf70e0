/** Shared by the benches of the request path: the deployment, the kinds of requests and the ideal response time. */

import { getSha256 } from "@anvilmux/common";
import { LoadGenerator, runTimeHeader } from "@anvilmux/stand-ins";
import type { LoadKind, LoadRecord } from "@anvilmux/stand-ins";
import { request } from "undici";
import { ProcessDeployment } from "./ProcessDeployment";
import { getPercentile } from "./statistics";

export const service = "rider-desk";
export const callerToken = "bench-caller-token";
export const zones = ["eire-dub", "eire-cork", "eire-gal"] as const;
const entries = [3, 3, 2];
const defaultUpstreamsPerZone = 10;
export const slotsPerUpstream = 8;
export const totalSlots = zones.length * defaultUpstreamsPerZone * slotsPerUpstream;

export const benchManifest = (version: number): unknown => ({
    format: 1,
    version,
    services: [{
        name: service,
        kinds: [
            { name: "screen", urgent: true, repeatable: true, deadlineMs: 20_000, declaredRunMs: 100 },
            { name: "check", urgent: true, repeatable: true, deadlineMs: 60_000, declaredRunMs: 100 },
            { name: "lookup", urgent: true, repeatable: true, deadlineMs: 1_500, declaredRunMs: 100 },
            { name: "report", repeatable: true, deadlineMs: 2_500, declaredRunMs: 100 },
            { name: "batch", repeatable: true, deadlineMs: 8_000, declaredRunMs: 100 },
            { name: "warm-up", repeatable: true, deadlineMs: 10_000, declaredRunMs: 100 },
            { name: "dispatch", urgent: true, keyRequired: true, deadlineMs: 8_000, declaredRunMs: 50 },
        ],
    }],
    teams: [{ name: "touring" }],
    callers: [{
        name: "bench",
        team: "touring",
        tokenSha256: getSha256(callerToken),
        services: [{ service }],
        jobs: true,
    }],
});

/** Short requests: 50 to 150 ms, 100 ms on average. */
export const newShortKind = (kind: string, share: number): LoadKind => ({
    kind,
    share,
    sampleRun: random => 50 + 100 * random.next(),
});

/** Requests declared as 100 ms that run 30 times longer. */
export const newLongKind = (kind: string, share: number): LoadKind => ({ kind, share, sampleRun: () => 3_000 });

/** Mean run time of a mix of short and long requests. */
export const getMeanRunMs = (shortShare: number, longShare: number): number =>
    (100 * shortShare + 3_000 * longShare) / (shortShare + longShare);

/** Requests per second that keep the share `load` of all slots busy. */
export const getRateForLoad = (load: number, meanRunMs: number): number => load * totalSlots * 1_000 / meanRunMs;

/** Starts a deployment of eight entries and, by default, thirty upstreams with a slot strategy. */
export const startDeployment = async (
    strategy: string,
    upstreamsPerZone = defaultUpstreamsPerZone,
): Promise<ProcessDeployment> => {
    const deployment = new ProcessDeployment({ zones, entries, service, settings: { "slot-strategy": strategy } });
    await deployment.start();
    await deployment.applyManifest(benchManifest(1));
    for (const zone of zones) {
        await deployment.addUpstreams(zone, upstreamsPerZone, slotsPerUpstream);
    }
    await warmUp(deployment);
    return deployment;
};

const warmUpMs = 4_000;
const warmUpRatePerSecond = 1_400;

/** Sends short calls of a separate kind, so that the processes' code is compiled before the measurement. */
const warmUp = async (deployment: ProcessDeployment): Promise<void> => {
    const generator = newLoadGenerator(deployment, "warm-up");
    await generator.run({
        service,
        token: callerToken,
        seed: 1,
        duration: warmUpMs,
        kinds: [{ kind: "warm-up", share: 1, sampleRun: () => 20 }],
        getRate: () => warmUpRatePerSecond,
    });
    await generator.close();
};

export const newLoadGenerator = (deployment: ProcessDeployment, prefix: string): LoadGenerator =>
    new LoadGenerator(() => deployment.publicAddresses, prefix);

/** Median time that a direct call to an upstream takes beyond its run time. */
export const measureRoundTripMs = async (deployment: ProcessDeployment): Promise<number> => {
    const target = deployment.upstreams[0]!.standIn;
    const address = target.getAddress();
    const addedMs: number[] = [];
    for (let number = 0; number < 40; number++) {
        const startedAt = performance.now();
        const response = await request(`http://${address}/direct`, {
            method: "POST",
            headers: { [runTimeHeader]: "20" },
            body: "x",
        });
        await response.body.dump();
        addedMs.push(performance.now() - startedAt - 20);
    }
    return Math.max(0, getPercentile(addedMs, 50));
};

/** Response times divided by the ideal one, for requests answered with success. */
export const getSlowdowns = (records: readonly LoadRecord[], roundTripMs: number): readonly number[] =>
    records.filter(record => record.outcome === "answered" && record.status === 200)
        .map(record => record.latency / (record.run + roundTripMs));

/** Records scheduled within a span of time. */
export const getRecordsBetween = (records: readonly LoadRecord[], from: number, to: number): readonly LoadRecord[] =>
    records.filter(record => record.scheduledAt >= from && record.scheduledAt < to);
