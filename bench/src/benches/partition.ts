/** A network partition of one zone and its healing, in one process over loopback sockets. */

import { networkToken, newSystemEnvironment } from "@anvilmux/anvilmux";
import { LoadGenerator } from "@anvilmux/stand-ins";
import type { LoadRecord } from "@anvilmux/stand-ins";
import { Deployment } from "../../../anvilmux-daemon/src/Deployment";
import { benchManifest, callerToken, service, zones } from "../requestPath";
import { round } from "../statistics";
import type { Bench } from "../types";

const upstreamsPerZone = 4;
const slots = 8;
const load = 0.5;
const cutAtMs = 4_000;
const healAtMs = 16_000;
const endMs = 22_000;
const keyedShare = 0.2;
/** Run time of every call; long enough that one process can run the whole deployment. */
const runMs = 400;

export const partition: Bench = {
    name: "partition",
    description: "each zone's own work while one zone is cut off, and nothing doubled at healing",
    run: async seed => {
        let isPartitioned = false;
        const cutZone = zones[2];
        let zoneOfAddress: ReadonlyMap<string, string> = new Map();
        const deployment: Deployment = new Deployment({
            zones,
            entriesPerZone: 2,
            upstreamsPerZone,
            slotsPerUpstream: slots,
            workersPerZone: 0,
            processorsPerWorker: 1,
            service,
            getEnvironment: id => ({
                ...newSystemEnvironment(),
                isReachable: address =>
                    !isPartitioned || (zoneOfAddress.get(address) === cutZone) === (deployment.getZone(id) === cutZone),
            }),
        });
        await deployment.start();
        zoneOfAddress = new Map(
            deployment.getInstanceIds().map(id => [deployment.getPeerAddress(id), deployment.getZone(id)]),
        );
        await deployment.submitManifest(benchManifest(1));
        await deployment.waitUntilReady();
        const setPartitioned = (partitioned: boolean) => {
            isPartitioned = partitioned;
            // Closes all open connections, so that none stays open across the partition.
            deployment.instances.forEach(instance => instance.kernel.get(networkToken).close());
        };
        const timers = [
            setTimeout(() => setPartitioned(true), cutAtMs),
            setTimeout(() => setPartitioned(false), healAtMs),
        ];
        const rate = load * upstreamsPerZone * slots * 1_000 / runMs;
        const records = (await Promise.all(zones.map(async zone => {
            const generator = new LoadGenerator(
                () => deployment.getInstanceIds(zone).map(id => deployment.getPublicAddress(id)),
                zone,
            );
            const ofZone = await generator.run({
                service,
                token: callerToken,
                seed,
                duration: endMs,
                kinds: [
                    { kind: "screen", share: 1 - keyedShare, sampleRun: () => runMs },
                    { kind: "dispatch", share: keyedShare, sampleRun: () => runMs, keyed: true },
                ],
                getRate: () => rate,
            });
            await generator.close();
            return ofZone.map(record => ({ ...record, zone }));
        }))).flat();
        timers.forEach(clearTimeout);
        const starts = new Map<string, number>();
        deployment.upstreams.forEach(({ standIn }) =>
            standIn.starts.forEach((count, id) => starts.set(id, (starts.get(id) ?? 0) + count))
        );
        await deployment.stop();
        const duringPartition = records.filter(record => record.scheduledAt > cutAtMs && record.scheduledAt < healAtMs);
        const isServed = (record: LoadRecord) => record.outcome === "answered" && record.status === 200;
        const getServedShare = (subset: readonly LoadRecord[]) =>
            round(subset.filter(isServed).length / Math.max(1, subset.length), 4);
        const ofZone = (zone: string) =>
            duringPartition.filter(record => record.zone === zone && record.kind === "screen");
        const keyedInCutZone = duringPartition.filter(record => record.zone === cutZone && record.kind === "dispatch");
        const afterHealing = records.filter(record => record.scheduledAt > healAtMs + 2_000);
        return {
            metrics: {
                servedInCutZone: getServedShare(ofZone(cutZone)),
                servedInOtherZones: getServedShare([...ofZone(zones[0]), ...ofZone(zones[1])]),
                keyedRefusedInCutZone: keyedInCutZone.filter(record => record.outcome === "not-run").length,
                keyedFalseNotRun:
                    records.filter(record => record.outcome === "not-run" && starts.has(record.workId)).length,
                keyedOtherZonesServed: getServedShare(
                    duringPartition.filter(item => item.zone !== cutZone && item.kind === "dispatch"),
                ),
                doubled:
                    records.filter(record => record.kind === "dispatch" && (starts.get(record.workId) ?? 0) > 1).length,
                servedAfterHealing: getServedShare(afterHealing),
            },
            baseline: {},
            targets: [
                { metric: "servedInCutZone", bound: "at-least", value: 0.99 },
                { metric: "servedInOtherZones", bound: "at-least", value: 0.99 },
                { metric: "keyedFalseNotRun", bound: "at-most", value: 0 },
                { metric: "doubled", bound: "at-most", value: 0 },
                { metric: "keyedOtherZonesServed", bound: "at-least", value: 0.9 },
                { metric: "servedAfterHealing", bound: "at-least", value: 0.99 },
            ],
        };
    },
};
