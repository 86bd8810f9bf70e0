/** Keyed calls that must run at most once, with client retries at other entries while entries are killed. */

import { request } from "undici";
import type { ProcessDeployment } from "../ProcessDeployment";
import { callerToken, service, startDeployment } from "../requestPath";
import { getPercentile, round } from "../statistics";
import type { Bench } from "../types";

const keyCount = 2_400;
const ratePerSecond = 160;
const retryDelayMs = 250;
const clientTimeoutMs = 12_000;
const runMs = 50;

interface KeyResult {
    readonly key: string;
    readonly outcome: string;
    readonly latency: number;
    readonly attempts: number;
}

/** Sends a keyed call until it succeeds or gets status 502; any other failure is retried at the next entry. */
const sendWithRetries = async (
    deployment: ProcessDeployment,
    key: string,
    firstPosition: number,
): Promise<KeyResult> => {
    const startedAt = performance.now();
    let outcome = "none";
    let attempts = 0;
    while (performance.now() - startedAt < clientTimeoutMs) {
        const entry = deployment.processes[(firstPosition + attempts) % deployment.processes.length]!;
        attempts += 1;
        try {
            const response = await request(`http://${entry.publicAddress}/v1/services/${service}/dispatch`, {
                method: "POST",
                headers: {
                    "authorization": `Bearer ${callerToken}`,
                    "idempotency-key": key,
                    "x-work-id": key,
                    "x-run-ms": String(runMs),
                },
                body: key,
                headersTimeout: 4_000,
            });
            await response.body.text();
            outcome = String(response.headers["anvilmux-outcome"]);
            if (outcome === "answered" && response.statusCode === 200) {
                break;
            }
            if (response.statusCode === 502) {
                break;
            }
        }
        catch {
            outcome = "connection-lost";
        }
        await new Promise(resolve => setTimeout(resolve, retryDelayMs));
    }
    return { key, outcome, latency: performance.now() - startedAt, attempts };
};

export const once: Bench = {
    name: "once",
    description: "keyed calls with client retries while entries and the control leader are killed",
    run: async () => {
        const deployment = await startDeployment("steward");
        const killTimer = setTimeout(() => void killAndRestart(deployment), 3_000);
        const pendingResults: Promise<KeyResult>[] = [];
        const startedAt = performance.now();
        for (let number = 0; number < keyCount; number++) {
            const due = number * 1_000 / ratePerSecond;
            await new Promise(resolve => setTimeout(resolve, Math.max(0, due - (performance.now() - startedAt))));
            pendingResults.push(sendWithRetries(deployment, `key-${number}`, number));
        }
        const results = await Promise.all(pendingResults);
        clearTimeout(killTimer);
        const starts = deployment.getStarts();
        await deployment.stop();
        const keysRunTwice = results.filter(result => (starts.get(result.key) ?? 0) > 1).length;
        const answered = results.filter(result => result.outcome === "answered");
        const addedLatencies = answered.filter(result => result.attempts === 1).map(result => result.latency - runMs);
        return {
            metrics: {
                keys: results.length,
                keysRunTwice,
                answered: answered.length,
                answeredWithoutRun: answered.filter(result => !starts.has(result.key)).length,
                unknown: results.filter(result => result.outcome === "unknown").length,
                unknownThatNeverRan:
                    results.filter(result => result.outcome === "unknown" && !starts.has(result.key)).length,
                notRunButStarted:
                    results.filter(result => result.outcome === "not-run" && starts.has(result.key)).length,
                withoutHonestOutcome:
                    results.filter(result => result.outcome === "connection-lost" || result.outcome === "none").length,
                addedMedianMs: round(getPercentile(addedLatencies, 50), 1),
                addedP99Ms: round(getPercentile(addedLatencies, 99), 1),
            },
            baseline: {},
            targets: [
                { metric: "keysRunTwice", bound: "at-most", value: 0 },
                { metric: "answeredWithoutRun", bound: "at-most", value: 0 },
                { metric: "notRunButStarted", bound: "at-most", value: 0 },
                { metric: "withoutHonestOutcome", bound: "at-most", value: 0 },
            ],
        };
    },
};

/** Kills and restarts an entry without a control replica, then the first control instance. */
const killAndRestart = async (deployment: ProcessDeployment): Promise<void> => {
    const withoutReplica = deployment.processes.find(item => !item.isControl)!;
    const control = deployment.processes.find(item => item.isControl)!;
    for (const item of [withoutReplica, control]) {
        await deployment.stopProcess(item.id, "SIGKILL");
        await new Promise(resolve => setTimeout(resolve, 1_500));
        await deployment.startProcess(item.id);
        await new Promise(resolve => setTimeout(resolve, 1_500));
    }
};
