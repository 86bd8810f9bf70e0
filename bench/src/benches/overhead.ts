/** Throughput and latency of one entry compared with a minimal express and undici forwarder in the same run. */

import { findFreePorts } from "@anvilmux/stand-ins";
import { spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { resolve } from "node:path";
import { Pool } from "undici";
import { waitFor } from "../../../anvilmux-daemon/src/Deployment";
import { ProcessDeployment } from "../ProcessDeployment";
import { benchManifest, callerToken, service } from "../requestPath";
import { getPercentile, round } from "../statistics";
import type { Bench } from "../types";

const connections = 48;
const peakMs = 4_000;
const halfLoadMs = 5_000;
const rounds = 2;
const upstreamSlots = 60;

const startProgram = (name: string, ...values: readonly string[]): ChildProcess =>
    spawn(process.execPath, [resolve(`dist/${name}.js`), ...values], { stdio: "ignore" });

class Client {
    private readonly pool: Pool;
    private sent = 0;

    constructor(address: string, private readonly path: string) {
        this.pool = new Pool(`http://${address}`, { connections, pipelining: 1 });
    }

    async send(): Promise<number> {
        const startedAt = performance.now();
        const response = await this.pool.request({
            method: "POST",
            path: this.path,
            headers: { "authorization": `Bearer ${callerToken}`, "x-work-id": `work-${this.sent++}`, "x-run-ms": "0" },
            body: "allergy screen",
        });
        await response.body.text();
        if (response.statusCode !== 200) {
            throw new Error(`request failed with status ${response.statusCode}`);
        }
        return performance.now() - startedAt;
    }

    /** Requests per second with all connections busy. */
    async measurePeak(duration: number): Promise<number> {
        const endAt = performance.now() + duration;
        let count = 0;
        const sendAll = async () => {
            while (performance.now() < endAt) {
                await this.send();
                count += 1;
            }
        };
        await Promise.all(Array.from({ length: connections }, sendAll));
        return count * 1_000 / duration;
    }

    /** Response times of requests sent at a fixed rate, whether or not earlier ones were answered. */
    async measureAtRate(rate: number, duration: number): Promise<readonly number[]> {
        const startedAt = performance.now();
        const times: Promise<number>[] = [];
        while (performance.now() - startedAt < duration) {
            while (times.length < (performance.now() - startedAt) * rate / 1_000) {
                times.push(this.send());
            }
            await new Promise(resolvePause => setTimeout(resolvePause, 1));
        }
        return Promise.all(times);
    }

    async close(): Promise<void> {
        await this.pool.destroy();
    }
}

export const overhead: Bench = {
    name: "overhead",
    description: "throughput and added time of one entry against a bare forwarder",
    run: async () => {
        const [upstreamPort, forwarderPort] = await findFreePorts(2);
        const upstreamAddress = `127.0.0.1:${upstreamPort}`;
        const upstream = startProgram("upstreamProcess", String(upstreamPort), String(upstreamSlots));
        const forwarder = startProgram("forwarder", String(forwarderPort), upstreamAddress);
        const deployment = new ProcessDeployment({ zones: ["eire-dub"], entries: [1], service, controlCount: 1 });
        await deployment.start();
        await deployment.applyManifest(benchManifest(1));
        await deployment.announceUpstream("eire-dub", "upstream", upstreamAddress, upstreamSlots);
        const path = `/v1/services/${service}/screen`;
        const entryClient = new Client(deployment.processes[0]!.publicAddress, path);
        const forwarderClient = new Client(`127.0.0.1:${forwarderPort}`, path);
        const directClient = new Client(upstreamAddress, "/screen");
        await waitFor(() => deployment.processes[0]!.child !== undefined, 1_000, "entry process has exited");
        await new Promise(resolvePause => setTimeout(resolvePause, 500));
        await Promise.all([entryClient.measurePeak(2_000), forwarderClient.measurePeak(2_000)]);
        const entryPeaks: number[] = [];
        const forwarderPeaks: number[] = [];
        for (let round = 0; round < rounds; round++) {
            entryPeaks.push(await entryClient.measurePeak(peakMs));
            forwarderPeaks.push(await forwarderClient.measurePeak(peakMs));
        }
        const peak = Math.max(...entryPeaks);
        const entryTimes = await entryClient.measureAtRate(peak / 2, halfLoadMs);
        const directTimes = await directClient.measureAtRate(peak / 2, halfLoadMs);
        const forwarderTimes = await forwarderClient.measureAtRate(peak / 2, halfLoadMs);
        await Promise.all([entryClient.close(), forwarderClient.close(), directClient.close()]);
        upstream.kill("SIGKILL");
        forwarder.kill("SIGKILL");
        await deployment.stop();
        const getAddedMs = (times: readonly number[], percentile: number) =>
            round(getPercentile(times, percentile) - getPercentile(directTimes, percentile));
        return {
            metrics: {
                requestsPerSecond: round(peak, 0),
                throughputShare: round(peak / Math.max(...forwarderPeaks)),
                addedMedianMs: getAddedMs(entryTimes, 50),
                addedP99Ms: getAddedMs(entryTimes, 99),
            },
            baseline: {
                requestsPerSecond: round(Math.max(...forwarderPeaks), 0),
                addedMedianMs: getAddedMs(forwarderTimes, 50),
                addedP99Ms: getAddedMs(forwarderTimes, 99),
            },
            targets: [
                { metric: "throughputShare", bound: "at-least", value: 0.7 },
                { metric: "addedMedianMs", bound: "at-most", value: 1 },
                { metric: "addedP99Ms", bound: "at-most", value: 4 },
            ],
        };
    },
};
