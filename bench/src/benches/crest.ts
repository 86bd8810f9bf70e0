/** A demand swing from 50 % to 300 % of the slots and back. */

import type { LoadRecord } from "@anvilmux/stand-ins";
import type { ProcessDeployment } from "../ProcessDeployment";
import {
    callerToken,
    getBetween,
    longWork,
    newLoad,
    service,
    shortUrgent,
    slotsPerUpstream,
    startDeployment,
    zones,
} from "../requestPath";
import { getPercentile, round } from "../statistics";
import type { Bench } from "../types";

const runnersPerZone = 4;
const slots = zones.length * runnersPerZone * slotsPerUpstream;
const crestFrom = 4_000;
const crestTo = 9_000;
const recoveredFrom = crestTo + 2_000;
const end = 14_000;
/** Work in flight at the edges of the crest is not counted. */
const edgeMs = 1_000;
const kinds = [shortUrgent("lookup", 0.27), shortUrgent("report", 0.63), longWork("batch", 0.1)];
const meanRun = 100 * 0.9 + 3_000 * 0.1;
const deadlines: Readonly<Record<string, number>> = { lookup: 1_500, report: 2_500, batch: 8_000 };

const isInTime = (record: LoadRecord): boolean =>
    record.outcome === "answered" && record.status === 200 && record.latency <= deadlines[record.kind]!;

/** Run time, within a span, of the requests that were answered in time. */
const getUsefulWork = (records: readonly LoadRecord[], from: number, to: number): number =>
    records.filter(isInTime).reduce((sum, record) => {
        const ended = record.scheduledAt + record.latency;
        const overlap = Math.min(ended, to) - Math.max(ended - record.run, from);
        return sum + Math.max(0, overlap);
    }, 0);

const getShare = (records: readonly LoadRecord[], holds: (record: LoadRecord) => boolean): number =>
    records.filter(holds).length / records.length;

const measure = async (deployment: ProcessDeployment, seed: number) => {
    const load = newLoad(deployment, "crest");
    const records = await load.run({
        service,
        token: callerToken,
        seed,
        duration: end,
        kinds,
        getRate: elapsed => (elapsed >= crestFrom && elapsed < crestTo ? 3 : 0.5) * slots * 1_000 / meanRun,
    });
    await load.close();
    const crest = getBetween(records, crestFrom, crestTo);
    const refused = records.filter(record => record.outcome === "not-run");
    const recovered = getBetween(records, recoveredFrom, end);
    const starts = deployment.getStarts();
    const isShort = (record: LoadRecord) => record.kind === "lookup";
    const median = (some: readonly LoadRecord[]) => getPercentile(some.filter(isShort).map(item => item.latency), 50);
    const from = crestFrom + edgeMs;
    return {
        servedShareOfCapacity: round(getUsefulWork(records, from, crestTo) / (slots * (crestTo - from))),
        urgentServedShare: round(getShare(crest.filter(isShort), isInTime), 4),
        refusedCount: refused.length,
        refusalP99Ms: round(getPercentile(refused.map(record => record.latency), 99), 1),
        falseRefusals: refused.filter(record => starts.has(record.workId)).length,
        unknownOutcomes: records.filter(record => record.outcome === "unknown" || record.outcome === "error").length,
        recoveredServedShare: round(getShare(recovered, isInTime), 4),
        recoveredMedianRatio: round(median(recovered) / median(getBetween(records, 1_000, crestFrom))),
    };
};

export const crest: Bench = {
    name: "crest",
    description: "service at the crest of a swing from 50 % to 300 % of capacity, and after it",
    run: async seed => {
        const own = await startDeployment("steward", runnersPerZone);
        const metrics = await measure(own, seed);
        await own.stop();
        const other = await startDeployment("least-outstanding", runnersPerZone);
        const baseline = await measure(other, seed);
        await other.stop();
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
