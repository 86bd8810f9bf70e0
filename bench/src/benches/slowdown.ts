/** Response time over the ideal one for urgent work at 80 % and 95 % of the slots, one tenth running 30 times longer. */

import type { LoadRecord } from "@anvilmux/stand-ins";
import type { ProcessDeployment } from "../ProcessDeployment";
import {
    callerToken,
    getBetween,
    getMeanRun,
    getRateForLoad,
    getSlowdowns,
    longWork,
    measureRoundTrip,
    newLoad,
    service,
    shortUrgent,
    startDeployment,
} from "../requestPath";
import { getPercentile, round } from "../statistics";
import type { Bench } from "../types";

const shortShare = 0.9;
const longShare = 0.1;
const warmUpMs = 3_000;
const measuredMs = 6_000;
const meanRun = getMeanRun(shortShare, longShare);

interface Measured {
    readonly at80: readonly number[];
    readonly at95: readonly number[];
    readonly refused: number;
}

const measure = async (deployment: ProcessDeployment, seed: number): Promise<Measured> => {
    const roundTrip = await measureRoundTrip(deployment);
    const load = newLoad(deployment, "slowdown");
    const stepAt = warmUpMs + measuredMs;
    const records = await load.run({
        service,
        token: callerToken,
        seed,
        duration: stepAt + measuredMs,
        kinds: [shortUrgent("screen", shortShare), longWork("check", longShare)],
        getRate: elapsed => getRateForLoad(elapsed < stepAt ? 0.8 : 0.95, meanRun),
    });
    await load.close();
    const between = (from: number, to: number): readonly LoadRecord[] => getBetween(records, from, to);
    return {
        at80: getSlowdowns(between(warmUpMs, stepAt), roundTrip),
        at95: getSlowdowns(between(stepAt + 1_000, stepAt + measuredMs), roundTrip),
        refused: records.filter(record => record.outcome !== "answered").length,
    };
};

const summarize = (prefix: string, measured: Measured) => ({
    [`${prefix}80Median`]: round(getPercentile(measured.at80, 50)),
    [`${prefix}80P99`]: round(getPercentile(measured.at80, 99)),
    [`${prefix}95P99`]: round(getPercentile(measured.at95, 99)),
    [`${prefix}NotAnswered`]: measured.refused,
});

export const slowdown: Bench = {
    name: "slowdown",
    description: "response time over ideal at 80 % and 95 % of slot capacity",
    run: async seed => {
        const own = await startDeployment("steward");
        const measured = await measure(own, seed);
        await own.stop();
        const other = await startDeployment("least-outstanding");
        const baseline = await measure(other, seed);
        await other.stop();
        const excess = (values: readonly number[], percentile: number) =>
            Math.max(0, getPercentile(values, percentile) - 1);
        return {
            metrics: {
                ...summarize("at", measured),
                excessShareAt80P99: round(excess(measured.at80, 99) / excess(baseline.at80, 99)),
                excessShareAt95P99: round(excess(measured.at95, 99) / excess(baseline.at95, 99)),
                samples: measured.at80.length + measured.at95.length,
            },
            baseline: summarize("leastOutstanding", baseline),
            targets: [
                { metric: "at80Median", bound: "at-most", value: 1.05 },
                { metric: "at80P99", bound: "at-most", value: 1.25 },
                { metric: "at95P99", bound: "at-most", value: 4 },
                { metric: "excessShareAt80P99", bound: "at-most", value: 0.2 },
                { metric: "excessShareAt95P99", bound: "at-most", value: 0.2 },
            ],
        };
    },
};
