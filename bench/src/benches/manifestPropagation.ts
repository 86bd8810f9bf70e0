/** Propagation of 500 configuration changes to eight instances, one of which is down during all of them. */

import { ProcessDeployment } from "../ProcessDeployment";
import { benchManifest, service, zones } from "../requestPath";
import { getPercentile, round } from "../statistics";
import type { Bench } from "../types";

const changes = 500;
/** One change in this many is followed until every running instance has applied it. */
const changesPerSample = 10;
const pollMs = 15;
const timeLimitMs = 32_000;

export const manifestPropagation: Bench = {
    name: "manifest-propagation",
    description: "accepted to in force everywhere over 500 changes; start of an instance that missed them all",
    run: async () => {
        const deployment = new ProcessDeployment({ zones, entries: [3, 3, 2], service });
        await deployment.start();
        await deployment.applyManifest(benchManifest(1));
        const stoppedId = deployment.processes.find(item => !item.isControl)!.id;
        await deployment.stopProcess(stoppedId, "SIGKILL");
        const running = deployment.processes.filter(item => item.id !== stoppedId);
        const propagationTimes: number[] = [];
        let decreases = 0;
        const highestIndexes = new Map<string, number>();
        const startedAt = performance.now();
        let submittedCount = 0;
        for (; submittedCount < changes && performance.now() - startedAt < timeLimitMs; submittedCount++) {
            const index = await deployment.submitManifest(
                benchManifest(submittedCount + 2),
                running[submittedCount % running.length]!.id,
            );
            if (index !== undefined && submittedCount % changesPerSample === 0) {
                const acceptedAt = performance.now();
                await Promise.all(running.map(async item => {
                    for (;;) {
                        const activeIndex = await deployment.getMetric(item.id, "anvilmux_configuration_index ");
                        decreases += activeIndex < (highestIndexes.get(item.id) ?? 0) ? 1 : 0;
                        highestIndexes.set(item.id, activeIndex);
                        if (activeIndex >= index) {
                            return;
                        }
                        await new Promise(resolve => setTimeout(resolve, pollMs));
                    }
                }));
                propagationTimes.push(performance.now() - acceptedAt);
            }
        }
        const restartedAt = performance.now();
        await deployment.startProcess(stoppedId);
        const listeningAt = performance.now();
        await deployment.waitUntilReady();
        const readyMs = performance.now() - restartedAt;
        const caughtUp = await deployment.getMetric(stoppedId, "anvilmux_configuration_index ")
            === await deployment.getMetric(running[0]!.id, "anvilmux_configuration_index ");
        await deployment.stop();
        return {
            metrics: {
                changes: submittedCount,
                medianMs: round(getPercentile(propagationTimes, 50), 0),
                p99Ms: round(getPercentile(propagationTimes, 99), 0),
                decreases,
                absentReadyMs: round(readyMs, 0),
                absentStartMs: round(listeningAt - restartedAt, 0),
                absentCaughtUp: caughtUp ? 1 : 0,
            },
            baseline: {},
            targets: [
                { metric: "changes", bound: "at-least", value: changes },
                { metric: "p99Ms", bound: "at-most", value: 2_000 },
                { metric: "decreases", bound: "at-most", value: 0 },
                { metric: "absentReadyMs", bound: "at-most", value: 3_000 },
                { metric: "absentCaughtUp", bound: "at-least", value: 1 },
            ],
        };
    },
};
