/** Every entry restarted in turn under load, and an upstream that leaves. */

import { LoadGenerator } from "@anvilmux/stand-ins";
import { request } from "undici";
import type { ProcessDeployment } from "../ProcessDeployment";
import { callerToken, getRateForLoad, service, shortUrgent, startDeployment } from "../requestPath";
import { round } from "../statistics";
import type { Bench } from "../types";

const durationMs = 32_000;
const load = 0.3;
const balancerPeriodMs = 100;
const leavingAllowanceMs = 3_000;

/** The entries that a balancer would use: those whose readiness check succeeded last. */
const watchReadiness = (deployment: ProcessDeployment) => {
    let ready = deployment.publicAddresses;
    const check = async () => {
        const checked = await Promise.all(deployment.processes.map(async item => {
            try {
                const response = await request(`http://${item.publicAddress}/ready`, { headersTimeout: 500 });
                await response.body.dump();
                return response.statusCode === 200 ? [item.publicAddress] : [];
            }
            catch {
                return [];
            }
        }));
        ready = checked.flat();
    };
    const timer = setInterval(() => void check(), balancerPeriodMs);
    return { getReady: () => ready, stop: () => clearInterval(timer) };
};

export const drain: Bench = {
    name: "drain",
    description: "rolling restart of all entries and the leaving of an upstream under load",
    run: async seed => {
        const deployment = await startDeployment("steward");
        const balancer = watchReadiness(deployment);
        const generator = new LoadGenerator(balancer.getReady, "drain");
        const exitCodes: (number | undefined)[] = [];
        const leaving = deployment.upstreams[0]!;
        let startsAtAllowance = 0;
        const restartAll = async () => {
            await leaving.announcer.leave();
            setTimeout(() => startsAtAllowance = leaving.standIn.startCount, leavingAllowanceMs);
            for (const item of deployment.processes) {
                exitCodes.push(await deployment.end(item.id, "SIGTERM"));
                await deployment.startProcess(item.id);
                await deployment.waitUntilReady();
            }
        };
        const restarted = restartAll();
        const records = await generator.run({
            service,
            token: callerToken,
            seed,
            duration: durationMs,
            kinds: [shortUrgent("screen", 1)],
            getRate: () => getRateForLoad(load, 100),
        });
        await restarted;
        balancer.stop();
        await generator.close();
        const starts = deployment.getStarts();
        const startsAfterLeaving = leaving.standIn.startCount - startsAtAllowance;
        await deployment.stop();
        const count = (holds: (outcome: string) => boolean) => records.filter(record => holds(record.outcome)).length;
        return {
            metrics: {
                requests: records.length,
                cutOff: count(outcome => outcome === "error"),
                unknown: count(outcome => outcome === "unknown"),
                notRun: count(outcome => outcome === "not-run"),
                falseNotRun: records.filter(record => record.outcome === "not-run" && starts.has(record.workId)).length,
                answeredShare: round(count(outcome => outcome === "answered") / records.length, 5),
                restarts: exitCodes.length,
                failedExits: exitCodes.filter(code => code !== 0).length,
                startsAfterLeaving,
            },
            baseline: {},
            targets: [
                { metric: "cutOff", bound: "at-most", value: 0 },
                { metric: "unknown", bound: "at-most", value: 0 },
                { metric: "falseNotRun", bound: "at-most", value: 0 },
                { metric: "failedExits", bound: "at-most", value: 0 },
                { metric: "startsAfterLeaving", bound: "at-most", value: 0 },
            ],
        };
    },
};
