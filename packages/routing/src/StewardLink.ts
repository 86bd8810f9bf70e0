/**
 * An entry's stream to the steward, the entry that coordinates the slots of a service in its zone. A link sends slot
 * requests and releases, and receives grants and refusals.
 */

import { atTurnEnd, getErrorMessage, newDeferred } from "@anvilmux/common";
import type { Clock, Deferred, GrantId, Milliseconds, Timers } from "@anvilmux/common";
import type { HeldGrant, StewardReply, StewardRequest } from "@anvilmux/protocol";
import { SlotReleaseSchema, SlotRequestSchema, StewardHelloSchema, StewardRequestSchema } from "@anvilmux/protocol";
import type { Logger } from "@anvilmux/telemetry";
import type { PeerClient } from "@anvilmux/transport";
import { create } from "@bufbuild/protobuf";
import { newMessageQueue } from "./messageQueue";
import type { MessageQueue } from "./messageQueue";
import { fromGrantMessage, fromRefusalMessage, toOutcomeCode } from "./stewardMessages";
import type { AcquireRequest } from "./stewardMessages";
import type { SlotDecision, SlotOutcomeName } from "./types";

export interface StewardLinkOptions {
    readonly service: string;
    readonly stewardId: string;
    readonly stewardZone: string;
    readonly entryId: string;
    readonly zone: string;
    readonly peer: PeerClient;
    /** Held grants, which the first message reports to the steward. */
    readonly getHeldGrants: () => readonly HeldGrant[];
    readonly clock: Clock;
    readonly timers: Timers;
    readonly logger: Logger;
    /** Called for each message sent. */
    readonly onMessage: () => void;
    /** Called when a grant arrives for a request that was withdrawn. */
    readonly onLateGrant: (grantId: GrantId) => void;
}

/** `undefined` when the stream ended before a decision; the request is then repeated. */
export type LinkDecision = SlotDecision | undefined;

export class StewardLink {
    private readonly outgoing: MessageQueue<StewardRequest> = newMessageQueue();
    private readonly pending = new Map<bigint, Deferred<LinkDecision>>();
    private readonly abort = new AbortController();
    private batch: StewardRequest | undefined;
    private nextSequence = 1n;
    private accepted = false;
    private ended = false;

    constructor(private readonly options: StewardLinkOptions) {}

    get stewardId(): string {
        return this.options.stewardId;
    }

    get stewardZone(): string {
        return this.options.stewardZone;
    }

    /** True after the steward accepted the stream and until the stream ends. */
    get isUp(): boolean {
        return this.accepted && !this.ended;
    }

    get isEnded(): boolean {
        return this.ended;
    }

    /** Opens the stream and processes replies until it ends. */
    async run(): Promise<void> {
        const { service, entryId, zone, peer, getHeldGrants, logger } = this.options;
        this.outgoing.push(create(StewardRequestSchema, {
            hello: create(StewardHelloSchema, { service, entryId, zone, heldGrants: [...getHeldGrants()] }),
        }));
        try {
            for await (const reply of peer.steward(this.outgoing, { signal: this.abort.signal })) {
                this.receive(reply);
            }
        }
        catch (error) {
            logger.debug("steward stream ended", { service, steward: this.stewardId, reason: getErrorMessage(error) });
        }
        this.end();
    }

    /** Requests a slot. Aborting `signal` withdraws the request. */
    async requestSlot(request: AcquireRequest, signal: AbortSignal): Promise<LinkDecision> {
        const sequence = this.nextSequence++;
        const deferred = newDeferred<LinkDecision>();
        this.pending.set(sequence, deferred);
        this.getBatch().requests.push(create(SlotRequestSchema, {
            sequence,
            requestId: request.requestId,
            workKind: request.kind,
            team: request.team,
            urgent: request.urgent,
            remainingMs: request.remaining,
            excludedUpstreams: [...request.excludedUpstreams],
            forwarded: request.forwarded,
            maySpill: request.maySpill,
        }));
        const withdraw = () => {
            this.pending.delete(sequence);
            this.getBatch().cancelled.push(sequence);
            deferred.resolve({ granted: false, reason: "caller-left", retryAfter: 0 });
        };
        signal.addEventListener("abort", withdraw);
        const decision = await deferred.promise;
        signal.removeEventListener("abort", withdraw);
        return decision;
    }

    release(grantId: GrantId, outcome: SlotOutcomeName, runTime: Milliseconds): void {
        this.getBatch().releases.push(
            create(SlotReleaseSchema, { grantId, outcome: toOutcomeCode(outcome), runMs: runTime }),
        );
    }

    close(): void {
        this.end();
    }

    /** Requests, cancellations and releases of one event loop turn are sent in one message. */
    private getBatch(): StewardRequest {
        if (!this.batch) {
            this.batch = create(StewardRequestSchema);
            atTurnEnd(() => this.flush());
        }
        return this.batch;
    }

    private flush(): void {
        if (this.batch && !this.ended) {
            this.options.onMessage();
            this.outgoing.push(this.batch);
        }
        this.batch = undefined;
    }

    private receive(reply: StewardReply): void {
        this.accepted = this.accepted || reply.accepted;
        reply.grants.forEach(message => {
            const decision = fromGrantMessage(message);
            if (!this.settle(message.sequence, decision) && decision.granted) {
                this.options.onLateGrant(decision.grantId);
                this.release(decision.grantId, "unused", 0);
            }
        });
        reply.refusals.forEach(message => this.settle(message.sequence, fromRefusalMessage(message)));
    }

    private settle(sequence: bigint, decision: SlotDecision): boolean {
        const deferred = this.pending.get(sequence);
        this.pending.delete(sequence);
        deferred?.resolve(decision);
        return deferred !== undefined;
    }

    private end(): void {
        if (this.ended) {
            return;
        }
        this.ended = true;
        this.outgoing.end();
        this.abort.abort();
        this.pending.forEach(deferred => deferred.resolve(undefined));
        this.pending.clear();
    }
}
