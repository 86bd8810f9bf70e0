/** 500 configuration changes over eight instances, one of which is down for all of them. */

import { ProcessDeployment } from "../ProcessDeployment";
import { benchManifest, service, zones } from "../requestPath";
import { getPercentile, round } from "../statistics";
import type { Bench } from "../types";

const changes = 500;
/** One change in so many is followed to every instance. */
const followed = 10;
const pollMs = 15;
const runMs = 32_000;

export const manifestPropagation: Bench = {
    name: "manifest-propagation",
    description: "accepted to in force everywhere over 500 changes; start of an instance that missed them all",
    run: async () => {
        const deployment = new ProcessDeployment({ zones, entries: [3, 3, 2], service });
        await deployment.start();
        await deployment.putInForce(benchManifest(1));
        const absent = deployment.processes.find(item => !item.isControl)!.id;
        await deployment.end(absent, "SIGKILL");
        const present = deployment.processes.filter(item => item.id !== absent);
        const times: number[] = [];
        let decreases = 0;
        const highest = new Map<string, number>();
        const startedAt = performance.now();
        let done = 0;
        for (; done < changes && performance.now() - startedAt < runMs; done++) {
            const index = await deployment.submitManifest(benchManifest(done + 2), present[done % present.length]!.id);
            if (index !== undefined && done % followed === 0) {
                const acceptedAt = performance.now();
                await Promise.all(present.map(async item => {
                    for (;;) {
                        const inForce = await deployment.getMetric(item.id, "anvilmux_configuration_index ");
                        decreases += inForce < (highest.get(item.id) ?? 0) ? 1 : 0;
                        highest.set(item.id, inForce);
                        if (inForce >= index) {
                            return;
                        }
                        await new Promise(resolve => setTimeout(resolve, pollMs));
                    }
                }));
                times.push(performance.now() - acceptedAt);
            }
        }
        const restartedAt = performance.now();
        await deployment.startProcess(absent);
        const listeningAt = performance.now();
        await deployment.waitUntilReady();
        const readyMs = performance.now() - restartedAt;
        const caughtUp = await deployment.getMetric(absent, "anvilmux_configuration_index ")
            === await deployment.getMetric(present[0]!.id, "anvilmux_configuration_index ");
        await deployment.stop();
        return {
            metrics: {
                changes: done,
                medianMs: round(getPercentile(times, 50), 0),
                p99Ms: round(getPercentile(times, 99), 0),
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
