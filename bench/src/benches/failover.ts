/** Time to accept a manifest after the control leader is killed, and submissions to an isolated leader. */

import { ProcessDeployment } from "../ProcessDeployment";
import { benchManifest, service, zones } from "../requestPath";
import { getPercentile, round } from "../statistics";
import type { Bench } from "../types";

const kills = 5;

/** Id of the first instance whose metrics report that it leads the control group. */
const findLeader = async (deployment: ProcessDeployment): Promise<string> => {
    for (const item of deployment.processes) {
        const leading = item.child ? await deployment.getMetric(item.id, "anvilmux_control_leading ") : 0;
        if (leading === 1) {
            return item.id;
        }
    }
    throw new Error("no instance reports that it leads the control group");
};

export const failover: Bench = {
    name: "failover",
    description: "time from the kill of the control leader to the next acceptance",
    run: async () => {
        const deployment = new ProcessDeployment({ zones, entries: [1, 1, 1], service });
        await deployment.start();
        await deployment.applyManifest(benchManifest(1));
        let version = 1;
        const times: number[] = [];
        let lostManifests = 0;
        for (let round = 0; round < kills; round++) {
            const leader = await findLeader(deployment);
            const before = await deployment.submitManifest(benchManifest(++version), leader);
            const survivor = deployment.processes.find(item => item.id !== leader)!.id;
            const killedAt = performance.now();
            await deployment.stopProcess(leader, "SIGKILL");
            version += 1;
            while (await deployment.submitManifest(benchManifest(version), survivor) === undefined) {
                // Submitting the same manifest again is idempotent.
            }
            times.push(performance.now() - killedAt);
            await deployment.startProcess(leader);
            await deployment.waitUntilReady();
            const status = await deployment.getStatus(leader);
            lostManifests += status.configuration.index > (before ?? 0) ? 0 : 1;
        }
        const isolated = await countIsolatedSuccesses(deployment, benchManifest(version + 1));
        await deployment.stop();
        return {
            metrics: {
                kills,
                medianMs: round(getPercentile(times, 50), 0),
                worstMs: round(Math.max(...times), 0),
                acceptedAndLost: lostManifests,
                successesOfIsolatedLeader: isolated,
            },
            baseline: {},
            targets: [
                { metric: "worstMs", bound: "at-most", value: 2_000 },
                { metric: "acceptedAndLost", bound: "at-most", value: 0 },
                { metric: "successesOfIsolatedLeader", bound: "at-most", value: 0 },
            ],
        };
    },
};

/** Suspends both followers and submits through the isolated leader; returns the number of successes. */
const countIsolatedSuccesses = async (deployment: ProcessDeployment, manifest: unknown): Promise<number> => {
    const leader = await findLeader(deployment);
    const others = deployment.processes.filter(item => item.id !== leader);
    others.forEach(item => item.child!.kill("SIGSTOP"));
    let successes = 0;
    for (let attempt = 0; attempt < 3; attempt++) {
        const index = await deployment.submitManifest(manifest, leader).catch(() => undefined);
        successes += index === undefined ? 0 : 1;
    }
    others.forEach(item => item.child!.kill("SIGCONT"));
    return successes;
};
