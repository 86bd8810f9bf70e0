/** Keyed calls that must run once, with client retries to other entries, while entries are killed. */

import { request } from "undici";
import type { ProcessDeployment } from "../ProcessDeployment";
import { callerToken, service, startDeployment } from "../requestPath";
import { getPercentile, round } from "../statistics";
import type { Bench } from "../types";

const keyCount = 2_400;
const ratePerSecond = 160;
const retryPauseMs = 250;
const giveUpMs = 12_000;
const runMs = 50;

interface KeyEnd {
    readonly key: string;
    readonly outcome: string;
    readonly latency: number;
    readonly attempts: number;
}

/** Sends one key until it is answered, trying another entry after each failure, as a client would. */
const sendKey = async (deployment: ProcessDeployment, key: string, start: number): Promise<KeyEnd> => {
    const startedAt = performance.now();
    let outcome = "none";
    let attempts = 0;
    while (performance.now() - startedAt < giveUpMs) {
        const entry = deployment.processes[(start + attempts) % deployment.processes.length]!;
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
        await new Promise(resolve => setTimeout(resolve, retryPauseMs));
    }
    return { key, outcome, latency: performance.now() - startedAt, attempts };
};

export const once: Bench = {
    name: "once",
    description: "keyed calls with client retries while entries and the control leader are killed",
    run: async () => {
        const deployment = await startDeployment("steward");
        const kills = setTimeout(() => void killSome(deployment), 3_000);
        const ends: Promise<KeyEnd>[] = [];
        const startedAt = performance.now();
        for (let number = 0; number < keyCount; number++) {
            const due = number * 1_000 / ratePerSecond;
            await new Promise(resolve => setTimeout(resolve, Math.max(0, due - (performance.now() - startedAt))));
            ends.push(sendKey(deployment, `key-${number}`, number));
        }
        const all = await Promise.all(ends);
        clearTimeout(kills);
        const starts = deployment.getStarts();
        await deployment.stop();
        const runsTwice = all.filter(end => (starts.get(end.key) ?? 0) > 1).length;
        const answered = all.filter(end => end.outcome === "answered");
        const undisturbed = answered.filter(end => end.attempts === 1).map(end => end.latency - runMs);
        return {
            metrics: {
                keys: all.length,
                keysRunTwice: runsTwice,
                answered: answered.length,
                answeredWithoutRun: answered.filter(end => !starts.has(end.key)).length,
                unknown: all.filter(end => end.outcome === "unknown").length,
                unknownThatNeverRan: all.filter(end => end.outcome === "unknown" && !starts.has(end.key)).length,
                notRunButStarted: all.filter(end => end.outcome === "not-run" && starts.has(end.key)).length,
                withoutHonestOutcome:
                    all.filter(end => end.outcome === "connection-lost" || end.outcome === "none").length,
                addedMedianMs: round(getPercentile(undisturbed, 50), 1),
                addedP99Ms: round(getPercentile(undisturbed, 99), 1),
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

/** Kills an entry without a disk, then the first control instance, and starts both again. */
const killSome = async (deployment: ProcessDeployment): Promise<void> => {
    const plain = deployment.processes.find(item => !item.isControl)!;
    const control = deployment.processes.find(item => item.isControl)!;
    for (const item of [plain, control]) {
        await deployment.end(item.id, "SIGKILL");
        await new Promise(resolve => setTimeout(resolve, 1_500));
        await deployment.startProcess(item.id);
        await new Promise(resolve => setTimeout(resolve, 1_500));
    }
};
