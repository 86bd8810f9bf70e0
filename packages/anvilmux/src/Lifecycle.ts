/** The states of an instance: starting, ready, leaving. Leaving cuts off nothing. */

import { newDeferred, sleep } from "@anvilmux/common";
import type { Clock, Milliseconds, Timers, Unsubscribe } from "@anvilmux/common";
import type { InstanceRecord, Membership } from "@anvilmux/membership";
import type { Logger } from "@anvilmux/telemetry";

export interface LifecycleOptions {
    readonly clock: Clock;
    readonly timers: Timers;
    readonly logger: Logger;
    readonly membership: Membership;
    readonly readinessLag: Milliseconds;
    /** Everything about this instance that other members see, but for its state. */
    readonly getRecord: () => Omit<InstanceRecord, "state">;
    /** Undefined when ready; otherwise what is missing. */
    readonly getObstacle: () => string | undefined;
    /** Requests and jobs not answered yet. */
    readonly getOpenWork: () => number;
}

const publishPeriodMs = 100;
const drainCheckPeriodMs = 20;
/** Longest wait for open work before an instance leaves all the same. */
const drainTimeoutMs = 120_000;

export class Lifecycle {
    private state: InstanceRecord["state"] = "starting";
    private admitting = true;
    private unsubscribe: Unsubscribe = () => undefined;
    private draining: Promise<void> | undefined;
    private readonly drained = newDeferred<void>();

    constructor(private readonly options: LifecycleOptions) {}

    start(): void {
        this.publish();
        this.unsubscribe = this.options.timers.every(publishPeriodMs, () => this.publish());
    }

    stop(): void {
        this.unsubscribe();
    }

    get isReady(): boolean {
        return this.state === "ready";
    }

    /** False once new work is refused. */
    get isAdmitting(): boolean {
        return this.admitting;
    }

    /** Why the instance is not ready; undefined when it is. */
    getObstacle(): string | undefined {
        return this.state === "leaving" ? "leaving" : this.options.getObstacle();
    }

    /** Resolves when the instance has left, whoever asked for it. */
    get whenDrained(): Promise<void> {
        return this.drained.promise;
    }

    /** Leaves gracefully: not ready, then no new work, then done when open work has ended. */
    drain(): Promise<void> {
        this.draining ??= this.runDrain();
        return this.draining;
    }

    private async runDrain(): Promise<void> {
        const { timers, clock, logger, readinessLag, getOpenWork } = this.options;
        logger.info("leaving", { openWork: getOpenWork() });
        this.state = "leaving";
        this.publish();
        await sleep(timers, readinessLag);
        this.admitting = false;
        const end = clock.now() + drainTimeoutMs;
        while (getOpenWork() > 0 && clock.now() < end) {
            await sleep(timers, drainCheckPeriodMs);
        }
        logger.info("drained", { openWork: getOpenWork() });
        this.drained.resolve();
    }

    private publish(): void {
        if (this.state === "starting" && this.options.getObstacle() === undefined) {
            this.state = "ready";
            this.options.logger.info("ready");
        }
        this.options.membership.publishSelf({ ...this.options.getRecord(), state: this.state });
    }
}
