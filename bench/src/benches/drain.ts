/** Rolling restart of all entries under load while an upstream leaves. */

import { LoadGenerator } from "@anvilmux/stand-ins";
import { request } from "undici";
import type { ProcessDeployment } from "../ProcessDeployment";
import { callerToken, getRateForLoad, newShortKind, service, startDeployment } from "../requestPath";
import { round } from "../statistics";
import type { Bench } from "../types";

const durationMs = 32_000;
const load = 0.3;
const readinessPollMs = 100;
const leaveGraceMs = 3_000;

/** Polls the entries that a load balancer would use: those whose last readiness check succeeded. */
const pollReadiness = (deployment: ProcessDeployment) => {
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
    const timer = setInterval(() => void check(), readinessPollMs);
    return { getReady: () => ready, stop: () => clearInterval(timer) };
};

export const drain: Bench = {
    name: "drain",
    description: "rolling restart of all entries and the leaving of an upstream under load",
    run: async seed => {
        const deployment = await startDeployment("steward");
        const balancer = pollReadiness(deployment);
        const generator = new LoadGenerator(balancer.getReady, "drain");
        const exitCodes: (number | undefined)[] = [];
        const leavingUpstream = deployment.upstreams[0]!;
        let startsAtGraceEnd = 0;
        const restartAll = async () => {
            await leavingUpstream.announcer.leave();
            setTimeout(() => startsAtGraceEnd = leavingUpstream.standIn.startCount, leaveGraceMs);
            for (const item of deployment.processes) {
                exitCodes.push(await deployment.stopProcess(item.id, "SIGTERM"));
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
            kinds: [newShortKind("screen", 1)],
            getRate: () => getRateForLoad(load, 100),
        });
        await restarted;
        balancer.stop();
        await generator.close();
        const starts = deployment.getStarts();
        const startsAfterLeaving = leavingUpstream.standIn.startCount - startsAtGraceEnd;
        await deployment.stop();
        const count = (matches: (outcome: string) => boolean) =>
            records.filter(record => matches(record.outcome)).length;
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
