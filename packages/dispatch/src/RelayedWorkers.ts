/**
 * Drivers of an owner's workers whose calls other entries of the zone make: relays. The owner of many workers keeps the
 * queue, the view of the capacity and every decision, and spends its processor time on those rather than on the
 * exchanges. A relay decides nothing and remembers nothing of a call, so a lost or late relay is to the owner what a
 * lost or late network is: a call without an answer.
 */

import type { Clock, Milliseconds, Timers, Unsubscribe } from "@anvilmux/common";
import type { Logger, Metrics } from "@anvilmux/telemetry";
import {
    maximumDirectWorkers,
    orderTimeoutMs,
    ownerStallGraceMs,
    ownerStallMs,
    relaySuspicionMs,
    relayTimeoutMs,
    sufficientRelays,
} from "./constants";
import { RelayAssignment } from "./RelayAssignment";
import { getRelayWeights } from "./relayWeights";
import type { RelayWeights } from "./relayWeights";
import type {
    ConnectWorker,
    StartAnswer,
    Unanswered,
    WatchAnswer,
    WorkerDriver,
    WorkerId,
    WorkerTarget,
} from "./types";
import { getCallTimeout, makeWorkerCall } from "./workerCalls";
import type { NumberedWorkerCall, WorkerCall, WorkerCallAnswer } from "./workerCalls";

export interface RelayedWorkersOptions {
    /** Connects to a worker from this process. */
    readonly connect: ConnectWorker;
    /** The entries that can relay calls now. */
    readonly getRelays: () => readonly string[];
    /** The processor share of a relay, in proportion to which it gets workers; undefined where it is unknown. */
    readonly getRelayShare?: (relay: string) => number | undefined;
    /** False when the relay is not connected. */
    readonly send: (relay: string, call: NumberedWorkerCall) => boolean;
    readonly clock: Clock;
    readonly timers: Timers;
    readonly logger: Logger;
    readonly metrics: Metrics;
}

interface PendingCall {
    readonly relay: string;
    readonly worker: WorkerId;
    readonly resolve: (answer: WorkerCallAnswer | LostRelay) => void;
    cancelTimeout: Unsubscribe;
}

/** The result of a call whose relay did not answer. */
interface LostRelay {
    readonly kind: "relay-lost";
    readonly relay: string;
}

export class RelayedWorkers {
    private readonly pending = new Map<number, PendingCall>();
    private readonly suspectedUntil = new Map<string, Milliseconds>();
    private readonly assignment = new RelayAssignment();
    /** Relays that are connected and answered lately; undefined when that has to be determined again. */
    private trusted: { readonly relays: readonly string[]; readonly weights: RelayWeights; } | undefined;
    private nextNumber = 1;
    private openDrivers = 0;

    constructor(private readonly options: RelayedWorkersOptions) {}

    /** A driver whose calls are made from here while the owner has few workers, and by relays otherwise. */
    readonly connect: ConnectWorker = worker => {
        let direct: WorkerDriver | undefined;
        let isOpen = true;
        const getDirect = () => direct ??= this.options.connect(worker);
        const call = (made: WorkerCall) => this.call(worker, made, getDirect);
        this.openDrivers += 1;
        return {
            start: async order => toAnswer(await call({ kind: "start", order }) as StartAnswer | LostRelay),
            stop: async (task, run, fencingToken) => await call({ kind: "stop", task, run, fencingToken }) === true,
            watch: async order => {
                const first = await call({ kind: "watch", order }) as WatchAnswer | LostRelay;
                // A lost relay says nothing of the worker: another one is asked for a list at once.
                return first.kind === "relay-lost"
                    ? toAnswer(await call({ kind: "watch", order: { ...order, waitMs: 0 } }) as WatchAnswer | LostRelay)
                    : first;
            },
            close: () => {
                this.openDrivers -= isOpen ? 1 : 0;
                isOpen = false;
                this.assignment.remove(worker.id);
                direct?.close();
            },
        };
    };

    /** Passes on a relay's answer; ignored when the call was given up. */
    handleAnswer(number: number, answer: WorkerCallAnswer): void {
        const call = this.pending.get(number);
        if (call && typeof answer === "object" && answer.kind === "unanswered") {
            this.assignment.reject(call.worker);
        }
        this.settle(number, answer);
    }

    /** The calls that a disconnected relay had may have been made, and stay without an answer. */
    handleDisconnected(relay: string): void {
        this.trusted = undefined;
        [...this.pending]
            .filter(([, call]) => call.relay === relay)
            .forEach(([number]) => this.settle(number, undefined));
    }

    /** To be called when entries connected, disconnected or changed their readiness. */
    handleRelaysChanged(): void {
        this.trusted = undefined;
    }

    private async call(
        worker: WorkerTarget,
        call: WorkerCall,
        getDirect: () => WorkerDriver,
    ): Promise<WorkerCallAnswer | LostRelay> {
        const relay = this.openDrivers > maximumDirectWorkers ? this.chooseRelay(worker.id) : undefined;
        const isDirect = relay === undefined || relay === ownCalls;
        return (isDirect ? undefined : this.callThrough(relay, worker, call)) ?? makeWorkerCall(getDirect(), call);
    }

    /** Undefined when the relay is not connected; the call was then not made. */
    private callThrough(
        relay: string,
        worker: WorkerTarget,
        made: WorkerCall,
    ): Promise<WorkerCallAnswer | LostRelay> | undefined {
        const number = this.nextNumber++;
        const target = { id: worker.id, address: worker.address };
        if (!this.options.send(relay, { number, worker: target, call: made })) {
            return undefined;
        }
        this.options.metrics.count("anvilmux_relayed_calls_total", { call: made.kind });
        return new Promise(resolve => {
            const call: PendingCall = { relay, worker: worker.id, resolve, cancelTimeout: () => undefined };
            this.pending.set(number, call);
            this.expectAnswer(number, call, getCallTimeout(made, orderTimeoutMs) + relayTimeoutMs, true);
        });
    }

    /** Gives the call up after `timeoutMs`; later when this process did not run, as the call may not have been sent. */
    private expectAnswer(number: number, call: PendingCall, timeoutMs: Milliseconds, hasGrace: boolean): void {
        const { clock, timers } = this.options;
        const dueAt = clock.now() + timeoutMs;
        call.cancelTimeout = timers.after(timeoutMs, () => {
            if (hasGrace && clock.now() - dueAt > ownerStallMs) {
                this.expectAnswer(number, call, ownerStallGraceMs, false);
                return;
            }
            // An answer that arrived while this process was late is read before the call is given up.
            setImmediate(() => this.handleTimeout(number, call.relay));
        });
    }

    private handleTimeout(number: number, relay: string): void {
        if (this.pending.has(number)) {
            this.options.metrics.count("anvilmux_relay_timeouts_total");
            this.options.logger.warn("relay does not answer", { relay });
            this.suspect(relay);
            this.settle(number, undefined);
        }
    }

    private settle(number: number, answer: WorkerCallAnswer | undefined): void {
        const call = this.pending.get(number);
        this.pending.delete(number);
        call?.cancelTimeout();
        call?.resolve(
            answer === undefined ? { kind: "relay-lost", relay: call.relay } : withRelay(answer, call.relay),
        );
    }

    private suspect(relay: string): void {
        this.suspectedUntil.set(relay, this.options.clock.now() + relaySuspicionMs);
        this.trusted = undefined;
        this.options.timers.after(relaySuspicionMs, () => this.trusted = undefined);
    }

    /** A relay that answered lately; the owner itself is among them when they are few, with a mean part. */
    private chooseRelay(worker: WorkerId): string | undefined {
        if (!this.trusted) {
            const now = this.options.clock.now();
            const relays = this.options.getRelays();
            const trusted = relays.filter(relay => now >= (this.suspectedUntil.get(relay) ?? 0));
            const chosen = trusted.length < sufficientRelays ? [...trusted, ownCalls] : trusted;
            this.trusted = { relays: chosen, weights: getRelayWeights(chosen, relay => this.getShare(relay)) };
        }
        return this.assignment.choose(worker, this.trusted.relays, this.trusted.weights);
    }

    private getShare(relay: string): number | undefined {
        return relay === ownCalls ? undefined : this.options.getRelayShare?.(relay);
    }
}

const toAnswer = <Answer extends StartAnswer | WatchAnswer>(answer: Answer | LostRelay): Answer | Unanswered =>
    answer.kind === "relay-lost"
        ? { kind: "unanswered", reason: "the relay gave no answer", isRelayLost: true, relay: answer.relay }
        : answer;

/** Names the relay in an answer that the owner logs. */
const withRelay = (answer: WorkerCallAnswer, relay: string): WorkerCallAnswer =>
    typeof answer === "object" && (answer.kind === "unanswered" || answer.kind === "refused")
        ? { ...answer, relay }
        : answer;

/** Stands for the owner itself among its relays. */
const ownCalls = "";
