/** A load peak: demand rises from 50 % to 300 % of the slots and falls back. */

import type { LoadRecord } from "@anvilmux/stand-ins";
import type { ProcessDeployment } from "../ProcessDeployment";
import {
    callerToken,
    getRecordsBetween,
    newLoadGenerator,
    newLongKind,
    newShortKind,
    service,
    slotsPerUpstream,
    startDeployment,
    zones,
} from "../requestPath";
import { getPercentile, round } from "../statistics";
import type { Bench } from "../types";

const upstreamsPerZone = 4;
const slots = zones.length * upstreamsPerZone * slotsPerUpstream;
const peakStartMs = 4_000;
const peakEndMs = 9_000;
const recoveredFromMs = peakEndMs + 2_000;
const durationMs = 14_000;
/** The first second of the peak, with earlier requests still in flight, is not counted. */
const edgeMs = 1_000;
const kinds = [newShortKind("lookup", 0.27), newShortKind("report", 0.63), newLongKind("batch", 0.1)];
const meanRunMs = 100 * 0.9 + 3_000 * 0.1;
const deadlineMsByKind: Readonly<Record<string, number>> = { lookup: 1_500, report: 2_500, batch: 8_000 };

const isAnsweredInTime = (record: LoadRecord): boolean =>
    record.outcome === "answered" && record.status === 200 && record.latency <= deadlineMsByKind[record.kind]!;

/** Run time between `from` and `to` of the requests that were answered within their deadlines. */
const getUsefulRunMs = (records: readonly LoadRecord[], from: number, to: number): number =>
    records.filter(isAnsweredInTime).reduce((sum, record) => {
        const ended = record.scheduledAt + record.latency;
        const overlap = Math.min(ended, to) - Math.max(ended - record.run, from);
        return sum + Math.max(0, overlap);
    }, 0);

const getShare = (records: readonly LoadRecord[], matches: (record: LoadRecord) => boolean): number =>
    records.filter(matches).length / records.length;

const measure = async (deployment: ProcessDeployment, seed: number) => {
    const generator = newLoadGenerator(deployment, "crest");
    const records = await generator.run({
        service,
        token: callerToken,
        seed,
        duration: durationMs,
        kinds,
        getRate: elapsed => (elapsed >= peakStartMs && elapsed < peakEndMs ? 3 : 0.5) * slots * 1_000 / meanRunMs,
    });
    await generator.close();
    const atPeak = getRecordsBetween(records, peakStartMs, peakEndMs);
    const refused = records.filter(record => record.outcome === "not-run");
    const recovered = getRecordsBetween(records, recoveredFromMs, durationMs);
    const starts = deployment.getStarts();
    const isShort = (record: LoadRecord) => record.kind === "lookup";
    const getShortMedian = (subset: readonly LoadRecord[]) =>
        getPercentile(subset.filter(isShort).map(item => item.latency), 50);
    const from = peakStartMs + edgeMs;
    return {
        servedShareOfCapacity: round(getUsefulRunMs(records, from, peakEndMs) / (slots * (peakEndMs - from))),
        urgentServedShare: round(getShare(atPeak.filter(isShort), isAnsweredInTime), 4),
        refusedCount: refused.length,
        refusalP99Ms: round(getPercentile(refused.map(record => record.latency), 99), 1),
        falseRefusals: refused.filter(record => starts.has(record.workId)).length,
        unknownOutcomes: records.filter(record => record.outcome === "unknown" || record.outcome === "error").length,
        recoveredServedShare: round(getShare(recovered, isAnsweredInTime), 4),
        recoveredMedianRatio: round(
            getShortMedian(recovered) / getShortMedian(getRecordsBetween(records, 1_000, peakStartMs)),
        ),
    };
};

export const crest: Bench = {
    name: "crest",
    description: "service at the crest of a swing from 50 % to 300 % of capacity, and after it",
    run: async seed => {
        const deployment = await startDeployment("steward", upstreamsPerZone);
        const metrics = await measure(deployment, seed);
        await deployment.stop();
        const baselineDeployment = await startDeployment("least-outstanding", upstreamsPerZone);
        const baseline = await measure(baselineDeployment, seed);
        await baselineDeployment.stop();
        return {
            metrics,
            baseline,
            targets: [
                { metric: "servedShareOfCapacity", bound: "at-least", value: 0.95 },
                { metric: "urgentServedShare", bound: "at-least", value: 0.99 },
                { metric: "refusalP99Ms", bound: "at-most", value: 20 },
                { metric: "falseRefusals", bound: "at-most", value: 0 },
                { metric: "recoveredServedShare", bound: "at-least", value: 0.99 },
                { metric: "recoveredMedianRatio", bound: "at-most", value: 1.2 },
            ],
        };
    },
};
