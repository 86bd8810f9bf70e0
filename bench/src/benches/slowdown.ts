/** Slowdown of urgent requests (response time / ideal time) at 80 % and 95 % slot use; a tenth run 30 times longer. */

import type { LoadRecord } from "@anvilmux/stand-ins";
import type { ProcessDeployment } from "../ProcessDeployment";
import {
    callerToken,
    getMeanRunMs,
    getRateForLoad,
    getRecordsBetween,
    getSlowdowns,
    measureRoundTripMs,
    newLoadGenerator,
    newLongKind,
    newShortKind,
    service,
    startDeployment,
} from "../requestPath";
import { getPercentile, round } from "../statistics";
import type { Bench } from "../types";

const shortShare = 0.9;
const longShare = 0.1;
const warmUpMs = 3_000;
const measuredMs = 6_000;
const meanRunMs = getMeanRunMs(shortShare, longShare);

interface Measurement {
    readonly at80: readonly number[];
    readonly at95: readonly number[];
    readonly notAnswered: number;
}

const measure = async (deployment: ProcessDeployment, seed: number): Promise<Measurement> => {
    const roundTripMs = await measureRoundTripMs(deployment);
    const generator = newLoadGenerator(deployment, "slowdown");
    const loadStepAtMs = warmUpMs + measuredMs;
    const records = await generator.run({
        service,
        token: callerToken,
        seed,
        duration: loadStepAtMs + measuredMs,
        kinds: [newShortKind("screen", shortShare), newLongKind("check", longShare)],
        getRate: elapsed => getRateForLoad(elapsed < loadStepAtMs ? 0.8 : 0.95, meanRunMs),
    });
    await generator.close();
    const between = (from: number, to: number): readonly LoadRecord[] => getRecordsBetween(records, from, to);
    return {
        at80: getSlowdowns(between(warmUpMs, loadStepAtMs), roundTripMs),
        at95: getSlowdowns(between(loadStepAtMs + 1_000, loadStepAtMs + measuredMs), roundTripMs),
        notAnswered: records.filter(record => record.outcome !== "answered").length,
    };
};

const summarize = (prefix: string, measured: Measurement) => ({
    [`${prefix}80Median`]: round(getPercentile(measured.at80, 50)),
    [`${prefix}80P99`]: round(getPercentile(measured.at80, 99)),
    [`${prefix}95P99`]: round(getPercentile(measured.at95, 99)),
    [`${prefix}NotAnswered`]: measured.notAnswered,
});

export const slowdown: Bench = {
    name: "slowdown",
    description: "response time over ideal at 80 % and 95 % of slot capacity",
    run: async seed => {
        const deployment = await startDeployment("steward");
        const measured = await measure(deployment, seed);
        await deployment.stop();
        const baselineDeployment = await startDeployment("least-outstanding");
        const baseline = await measure(baselineDeployment, seed);
        await baselineDeployment.stop();
        const getExcess = (values: readonly number[], percentile: number) =>
            Math.max(0, getPercentile(values, percentile) - 1);
        return {
            metrics: {
                ...summarize("at", measured),
                excessShareAt80P99: round(getExcess(measured.at80, 99) / getExcess(baseline.at80, 99)),
                excessShareAt95P99: round(getExcess(measured.at95, 99) / getExcess(baseline.at95, 99)),
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
