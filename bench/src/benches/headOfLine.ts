/** Response time of short urgent requests with and without long requests in the mix. */

import type { LoadKind, LoadRecord } from "@anvilmux/stand-ins";
import type { ProcessDeployment } from "../ProcessDeployment";
import {
    callerToken,
    getRateForLoad,
    getRecordsBetween,
    measureRoundTripMs,
    newLoadGenerator,
    newLongKind,
    newShortKind,
    service,
    startDeployment,
} from "../requestPath";
import { getPercentile, round } from "../statistics";
import type { Bench } from "../types";

/** Share of the slots that the short urgent requests take in both runs. */
const shortLoad = 0.24;
/** Share of the slots that the long requests take in the second run. */
const longLoad = 0.56;
const shortRunMs = 100;
const longRunMs = 3_000;
const settleMs = 3_500;
const measuredMs = 5_500;

const runLoad = async (
    deployment: ProcessDeployment,
    kinds: readonly LoadKind[],
    rate: number,
    seed: number,
): Promise<readonly LoadRecord[]> => {
    const generator = newLoadGenerator(deployment, `head-of-line-${kinds.length}`);
    const records = await generator.run({
        service,
        token: callerToken,
        seed,
        duration: settleMs + measuredMs,
        kinds,
        getRate: () => rate,
    });
    await generator.close();
    return getRecordsBetween(records, settleMs, settleMs + measuredMs).filter(record => record.kind === "screen");
};

const measure = async (deployment: ProcessDeployment, seed: number) => {
    const roundTripMs = await measureRoundTripMs(deployment);
    const shortRate = getRateForLoad(shortLoad, shortRunMs);
    const longRate = getRateForLoad(longLoad, longRunMs);
    const kinds = [newShortKind("screen", shortRate), newLongKind("batch", longRate)];
    const getP99 = (records: readonly LoadRecord[]) =>
        getPercentile(records.map(record => record.latency / (record.run + roundTripMs)), 99);
    const without = getP99(await runLoad(deployment, kinds.slice(0, 1), shortRate, seed));
    const withLong = getP99(await runLoad(deployment, kinds, shortRate + longRate, seed));
    return { without, withLong, ratio: withLong / without };
};

export const headOfLine: Bench = {
    name: "head-of-line",
    description: "99th percentile of urgent short work with long work in the mix, over that without it",
    run: async seed => {
        const deployment = await startDeployment("steward");
        const measured = await measure(deployment, seed);
        await deployment.stop();
        const baselineDeployment = await startDeployment("least-outstanding");
        const baseline = await measure(baselineDeployment, seed);
        await baselineDeployment.stop();
        return {
            metrics: {
                p99WithoutLong: round(measured.without),
                p99WithLong: round(measured.withLong),
                ratio: round(measured.ratio),
            },
            baseline: {
                leastOutstandingP99WithoutLong: round(baseline.without),
                leastOutstandingP99WithLong: round(baseline.withLong),
                leastOutstandingRatio: round(baseline.ratio),
            },
            targets: [{ metric: "ratio", bound: "at-most", value: 1.2 }],
        };
    },
};
