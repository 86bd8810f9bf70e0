/** The states of an instance: starting, ready, leaving. A leaving instance finishes its open work first. */

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
    /** The published record of this instance without its state. */
    readonly getRecord: () => Omit<InstanceRecord, "state">;
    /** The reason why the instance is not ready; undefined when nothing is missing. */
    readonly getObstacle: () => string | undefined;
    /** Number of calls without an answer and of running jobs. */
    readonly getOpenWork: () => number;
}

const publishPeriodMs = 100;
const drainCheckPeriodMs = 20;
/** Longest wait for open work; after it the instance counts as drained in any case. */
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

    /** False once new work is refused, which begins `readinessLag` after the instance stopped being ready. */
    get isAdmitting(): boolean {
        return this.admitting;
    }

    /** Why the instance is not ready; undefined when it is. */
    getObstacle(): string | undefined {
        return this.state === "leaving" ? "leaving" : this.options.getObstacle();
    }

    /** Resolves when the instance is drained, whichever component requested it. */
    get whenDrained(): Promise<void> {
        return this.drained.promise;
    }

    /**
     * Drains the instance: it stops being ready, refuses new work once load balancers had time to notice, and resolves
     * when open work has ended or `drainTimeoutMs` is over. Repeated calls share one drain.
     */
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
        const deadline = clock.now() + drainTimeoutMs;
        while (getOpenWork() > 0 && clock.now() < deadline) {
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
