/** The control leader killed, and an isolated leader. */

import { ProcessDeployment } from "../ProcessDeployment";
import { benchManifest, service, zones } from "../requestPath";
import { getPercentile, round } from "../statistics";
import type { Bench } from "../types";

const kills = 5;

/** The instance that leads the control group, by the process that answers a read with its own progress complete. */
const findLeader = async (deployment: ProcessDeployment): Promise<string> => {
    for (const item of deployment.processes) {
        const leading = item.child ? await deployment.getMetric(item.id, "anvilmux_control_leading ") : 0;
        if (leading === 1) {
            return item.id;
        }
    }
    throw new Error("no instance says that it leads the control group");
};

export const failover: Bench = {
    name: "failover",
    description: "time from the kill of the control leader to the next acceptance",
    run: async () => {
        const deployment = new ProcessDeployment({ zones, entries: [1, 1, 1], service });
        await deployment.start();
        await deployment.putInForce(benchManifest(1));
        let version = 1;
        const times: number[] = [];
        let lost = 0;
        for (let round = 0; round < kills; round++) {
            const leader = await findLeader(deployment);
            const before = await deployment.submitManifest(benchManifest(++version), leader);
            const survivor = deployment.processes.find(item => item.id !== leader)!.id;
            const killedAt = performance.now();
            await deployment.end(leader, "SIGKILL");
            version += 1;
            while (await deployment.submitManifest(benchManifest(version), survivor) === undefined) {
                // Submitting the same version again is harmless.
            }
            times.push(performance.now() - killedAt);
            await deployment.startProcess(leader);
            await deployment.waitUntilReady();
            const status = await deployment.getStatus(leader);
            lost += status.configuration.index > (before ?? 0) ? 0 : 1;
        }
        const isolated = await testIsolatedLeader(deployment, benchManifest(version + 1));
        await deployment.stop();
        return {
            metrics: {
                kills,
                medianMs: round(getPercentile(times, 50), 0),
                worstMs: round(Math.max(...times), 0),
                acceptedAndLost: lost,
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

/** Freezes both followers, so that the leader is alone, and submits through it; returns the number of successes. */
const testIsolatedLeader = async (deployment: ProcessDeployment, manifest: unknown): Promise<number> => {
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
