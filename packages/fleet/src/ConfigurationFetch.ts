/**
 * Fetches newer configurations from control instances: one copy at a time, from the instance that announced it first. A
 * large configuration takes a while to arrive; another instance is asked only when the first one disconnects or stalls.
 * Of changes in quick succession only some are fetched, so that they leave room for other work.
 */

import type { Address, Clock, Milliseconds, Timers, Unsubscribe } from "@anvilmux/common";

export interface ConfigurationFetchOptions {
    readonly clock: Clock;
    readonly timers: Timers;
    /** Index of the active configuration. */
    readonly getIndex: () => number;
    readonly request: (control: Address) => void;
    /** When anything was last received from a connected control instance. */
    readonly getLastReceivedAt: (control: Address) => Milliseconds | undefined;
}

/** Time without any data from the instance after which another one is asked; longer than the heartbeat period. */
const silenceTimeoutMs = 400;
/** Time after which another one is asked although the instance sends other data. */
const transferTimeoutMs = 1_500;
/** Pause before the next request for each 1,000 characters received; about two thirds of a 17.5 Mbit/s link stay free. */
const pauseMsPerThousandCharacters = 1;
const maximumPauseMs = 500;

export class ConfigurationFetch {
    /** Index that each control instance announced on its current connection, in the order in which they are asked. */
    private readonly announced = new Map<Address, number>();
    private source: Address | undefined;
    private requestedAt: Milliseconds = 0;
    private pausing = false;
    private readonly pendingTimers = new Set<Unsubscribe>();

    constructor(private readonly options: ConfigurationFetchOptions) {}

    /** Cancels its timers; nothing is fetched any more. */
    stop(): void {
        this.pendingTimers.forEach(cancel => cancel());
        this.pendingTimers.clear();
        this.announced.clear();
    }

    handleNotice(control: Address, index: number): void {
        this.announced.set(control, index);
        this.requestNext();
    }

    /** Called once a configuration of that index and length was applied or refused. */
    handleReceived(control: Address, index: number, characters: number): void {
        if (index > this.options.getIndex()) {
            this.announced.delete(control);
        }
        if (control === this.source) {
            this.source = undefined;
        }
        this.pause(Math.min(maximumPauseMs, characters / 1_000 * pauseMsPerThousandCharacters));
    }

    handleDisconnected(control: Address): void {
        this.announced.delete(control);
        if (control === this.source) {
            this.source = undefined;
        }
        this.requestNext();
    }

    /** True while a configuration was requested from this control instance and has not arrived. */
    isAwaiting(control: Address): boolean {
        return control === this.source;
    }

    /** Time since the latest request. */
    get elapsed(): Milliseconds {
        return this.options.clock.now() - this.requestedAt;
    }

    private requestNext(): void {
        const next = this.source === undefined && !this.pausing ? this.findNewer() : undefined;
        if (next !== undefined) {
            this.requestFrom(next);
        }
    }

    private pause(duration: Milliseconds): void {
        if (!this.pausing) {
            this.pausing = true;
            this.after(duration, () => {
                this.pausing = false;
                this.requestNext();
            });
        }
    }

    /** The first control instance with a newer configuration. */
    private findNewer(except?: Address): Address | undefined {
        const ownIndex = this.options.getIndex();
        return [...this.announced].find(([control, index]) => index > ownIndex && control !== except)?.[0];
    }

    private requestFrom(control: Address): void {
        this.source = control;
        this.requestedAt = this.options.clock.now();
        this.options.request(control);
        this.checkLater(control, this.requestedAt);
    }

    private checkLater(source: Address, requestedAt: Milliseconds): void {
        const isCurrent = () => source === this.source && requestedAt === this.requestedAt;
        this.after(silenceTimeoutMs, () => {
            // After a stall of this process, what has arrived meanwhile is read first.
            setImmediate(() => isCurrent() && this.checkSource(source, requestedAt));
        });
    }

    private checkSource(source: Address, requestedAt: Milliseconds): void {
        const other = this.isStalled(source, requestedAt) ? this.findNewer(source) : undefined;
        if (other === undefined) {
            this.checkLater(source, requestedAt);
            return;
        }
        this.moveToEnd(source);
        this.requestFrom(other);
    }

    private isStalled(source: Address, requestedAt: Milliseconds): boolean {
        const now = this.options.clock.now();
        const activeAt = Math.max(requestedAt, this.options.getLastReceivedAt(source) ?? requestedAt);
        return now - activeAt >= silenceTimeoutMs || now - requestedAt >= transferTimeoutMs;
    }

    private after(delay: Milliseconds, listener: () => void): void {
        const cancel = this.options.timers.after(delay, () => {
            this.pendingTimers.delete(cancel);
            listener();
        });
        this.pendingTimers.add(cancel);
    }

    private moveToEnd(control: Address): void {
        const index = this.announced.get(control);
        this.announced.delete(control);
        if (index !== undefined) {
            this.announced.set(control, index);
        }
    }
}
