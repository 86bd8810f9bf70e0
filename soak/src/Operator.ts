/** The operator of a play: sends configurations until each is acknowledged, and reads them back at any control instance. */

import type { Address, Milliseconds } from "@anvilmux/common";
import { readConfigurationVersion, sendConfiguration } from "@anvilmux/platform";
import { pause, waitUntil } from "./Deployment";
import { draw } from "./draw";
import { callerWaitMs, jobKinds, queueHost, service } from "./layout";
import type { PlayParts } from "./PlayParts";

const changePeriodMs: Milliseconds = 4_000;
const readPeriodMs: Milliseconds = 700;
const retryMs: Milliseconds = 250;

export class Operator {
    private isStopped = false;
    private version = 1;
    private working: Promise<unknown> = Promise.resolve();

    constructor(private readonly parts: PlayParts) {}

    /** Sends one configuration until it is acknowledged; false if it is not within `limitMs`. */
    change(limitMs: Milliseconds): Promise<boolean> {
        const { checker, deployment, log, random } = this.parts;
        this.version += 1;
        const outline = {
            version: this.version,
            host: queueHost,
            service,
            queues: jobKinds.map(({ pathPrefix, priority }) => ({ pathPrefix, priority, timeoutMs: callerWaitMs })),
        };
        return waitUntil(async () => {
            const [name, address] = draw(random, [...deployment.controlAddresses]);
            const isAcknowledged = await sendConfiguration(address, outline);
            log(`operator sends version ${outline.version} to ${name}: ${isAcknowledged ? "acknowledged" : "no"}`);
            if (isAcknowledged) {
                checker.handleAcknowledgement(outline.version);
                return true;
            }
            await pause(retryMs);
            return this.isStopped;
        }, limitMs);
    }

    /** Changes and reads the configuration from time to time, until `stop`. */
    start(): void {
        const repeat = async (periodMs: Milliseconds, action: () => Promise<unknown>) => {
            while (!this.isStopped) {
                await pause(periodMs);
                await action();
            }
        };
        this.working = Promise.all([
            repeat(changePeriodMs, () => this.change(Infinity)),
            repeat(
                readPeriodMs,
                () => this.read(...draw(this.parts.random, [...this.parts.deployment.controlAddresses])),
            ),
        ]);
    }

    async stop(): Promise<void> {
        this.isStopped = true;
        await this.working;
    }

    /** Reads until an answer comes; reports when none does in time. */
    async readBack(limitMs: Milliseconds): Promise<void> {
        const controls = [...this.parts.deployment.controlAddresses];
        if (!await waitUntil(async () => await this.read(...draw(this.parts.random, controls)), limitMs)) {
            this.parts.checker.report("configuration", "no control instance reads it back at the end");
        }
    }

    private async read(name: string, address: Address): Promise<boolean> {
        const sentAt = this.parts.checker.now();
        const version = await readConfigurationVersion(address);
        if (version !== undefined) {
            this.parts.checker.handleRead(version, sentAt, name);
        }
        return version !== undefined;
    }
}
