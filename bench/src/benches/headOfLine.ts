/** Urgent short work with and without long work beside it. */

import type { LoadKind, LoadRecord } from "@anvilmux/stand-ins";
import type { ProcessDeployment } from "../ProcessDeployment";
import {
    callerToken,
    getBetween,
    getRateForLoad,
    longWork,
    measureRoundTrip,
    newLoad,
    service,
    shortUrgent,
    startDeployment,
} from "../requestPath";
import { getPercentile, round } from "../statistics";
import type { Bench } from "../types";

/** Share of the slots that the short urgent work takes in both runs. */
const shortLoad = 0.24;
/** Share of the slots that the long work takes where it is in the mix. */
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
    const load = newLoad(deployment, `head-of-line-${kinds.length}`);
    const records = await load.run({
        service,
        token: callerToken,
        seed,
        duration: settleMs + measuredMs,
        kinds,
        getRate: () => rate,
    });
    await load.close();
    return getBetween(records, settleMs, settleMs + measuredMs).filter(record => record.kind === "screen");
};

const measure = async (deployment: ProcessDeployment, seed: number) => {
    const roundTrip = await measureRoundTrip(deployment);
    const shortRate = getRateForLoad(shortLoad, shortRunMs);
    const longRate = getRateForLoad(longLoad, longRunMs);
    const kinds = [shortUrgent("screen", shortRate), longWork("batch", longRate)];
    const getP99 = (records: readonly LoadRecord[]) =>
        getPercentile(records.map(record => record.latency / (record.run + roundTrip)), 99);
    const without = getP99(await runLoad(deployment, kinds.slice(0, 1), shortRate, seed));
    const withLong = getP99(await runLoad(deployment, kinds, shortRate + longRate, seed));
    return { without, withLong, ratio: withLong / without };
};

export const headOfLine: Bench = {
    name: "head-of-line",
    description: "99th percentile of urgent short work with long work in the mix, over that without it",
    run: async seed => {
        const own = await startDeployment("steward");
        const measured = await measure(own, seed);
        await own.stop();
        const other = await startDeployment("least-outstanding");
        const baseline = await measure(other, seed);
        await other.stop();
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
