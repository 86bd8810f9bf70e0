/**
 * Grants the slots of one service's upstreams. Requests queue here instead of in the upstreams. Urgent work takes
 * precedence, long work leaves headroom for short urgent work, and ageing prevents starvation of other work.
 * Spilling means forwarding a request to another zone.
 */

import { getErrorMessage, newRandomId, toGrantId } from "@anvilmux/common";
import type { Clock, GrantId, Milliseconds, Timers, Unsubscribe } from "@anvilmux/common";
import type { Logger } from "@anvilmux/telemetry";
import {
    ageingBoundMs,
    grantsPerAgedGrant,
    headroomDeviations,
    headroomWaitFactor,
    maximumHeadroomShare,
} from "./constants";
import { otherClasses, RequestQueue, urgentClasses } from "./RequestQueue";
import type { RunTimes } from "./RunTimes";
import { SlotUsage } from "./SlotUsage";
import type {
    AdmissionView,
    Admit,
    ChooseUpstream,
    DecisionListener,
    GetOrderKey,
    HeldSlot,
    RefusalReason,
    SlotDecision,
    SlotOutcomeName,
    UpstreamSlots,
    WaitingRequest,
} from "./types";
import { UpstreamHealth } from "./UpstreamHealth";

/** The interchangeable parts of a scheduler. */
export interface SchedulingPolicy {
    readonly admit: Admit;
    readonly getOrderKey: GetOrderKey;
    readonly chooseUpstream: ChooseUpstream;
    /** When false, no headroom is kept free for short urgent work. */
    readonly protectsShortWork: boolean;
}

export interface SlotSchedulerOptions {
    readonly clock: Clock;
    readonly timers: Timers;
    readonly logger: Logger;
    readonly runTimes: RunTimes;
    readonly policy: SchedulingPolicy;
    /** Largest share of the slots that a team may hold while others wait. */
    readonly getTeamShare: (team: string) => number;
    /** Consumes one of the free slots that other zones reported; false when none is left. */
    readonly takeRemoteFreeSlot: () => boolean;
}

interface UpstreamState extends UpstreamSlots {
    inUse: number;
    readonly heldByEntry: Map<string, number>;
}

const expiryPeriodMs = 10;

const shortestRetryAfterMs = 50;

/** Maximum number of requests that one pass skips because no free slot suits them. */
const maximumSkipped = 8;

export class SlotScheduler {
    readonly health: UpstreamHealth;
    private readonly queue: RequestQueue;
    private readonly listeners = new Map<string, DecisionListener>();
    private upstreams = new Map<string, UpstreamState>();
    private readonly held = new Map<GrantId, HeldSlot>();
    private readonly endRecorders = new Map<GrantId, () => void>();
    private readonly heldByTeam = new Map<string, number>();
    private readonly usage: SlotUsage;
    private grantsSinceAged = 0;
    private paused = false;
    private readonly grantPrefix = newRandomId();
    private nextGrant = 0;
    private unsubscribe: Unsubscribe = () => undefined;
    private isExpiryCheckScheduled = false;

    constructor(private readonly options: SlotSchedulerOptions) {
        this.health = new UpstreamHealth(options.clock);
        this.queue = new RequestQueue(options.policy.getOrderKey);
        this.usage = new SlotUsage(options.clock, options.runTimes);
    }

    /** Slots of healthy upstreams. */
    get totalSlots(): number {
        let slots = 0;
        for (const upstream of this.upstreams.values()) {
            slots += this.health.getState(upstream.id) === "healthy" ? upstream.slots : 0;
        }
        return slots;
    }

    /** Free slots of healthy upstreams. */
    get freeSlots(): number {
        let slots = 0;
        for (const upstream of this.upstreams.values()) {
            const isHealthy = this.health.getState(upstream.id) === "healthy";
            slots += isHealthy ? Math.max(0, upstream.slots - upstream.inUse) : 0;
        }
        return slots;
    }

    get waiting(): number {
        return this.queue.size;
    }

    /** Replaces the upstreams with the announced ones. Slots in use at removed upstreams stay held until released. */
    updateUpstreams(announced: readonly UpstreamSlots[]): void {
        const next = new Map<string, UpstreamState>();
        for (const upstream of announced) {
            const previous = this.upstreams.get(upstream.id);
            next.set(upstream.id, {
                ...upstream,
                inUse: previous?.inUse ?? 0,
                heldByEntry: previous?.heldByEntry ?? new Map<string, number>(),
            });
        }
        this.upstreams = next;
        this.health.keepOnly(new Set(next.keys()));
        this.serve();
    }

    /** While paused, no slot is granted and requests wait. */
    setPaused(paused: boolean): void {
        this.paused = paused;
        this.serve();
    }

    /** Requests a slot. `listener` is called once, synchronously or later. */
    request(request: WaitingRequest, listener: DecisionListener): void {
        const reason = this.options.policy.admit(request, this.getView(request));
        if (reason) {
            listener(this.newRefusal(reason));
            return;
        }
        const mustWait = this.paused || this.queue.size > 0 || this.freeSlots <= this.getHeadroom(request);
        if (mustWait && (request.forwarded || (request.maySpill && this.options.takeRemoteFreeSlot()))) {
            listener(this.newRefusal("try-elsewhere"));
            return;
        }
        this.queue.add(request);
        this.listeners.set(request.id, listener);
        this.serve();
        this.scheduleExpiryCheck();
    }

    /** Withdraws a waiting request without a decision. */
    cancel(id: string): void {
        this.queue.remove(id);
        this.listeners.delete(id);
    }

    /** Refuses every waiting request. */
    refuseAll(reason: RefusalReason): void {
        this.queue.getAll().forEach(request => this.refuse(request, reason));
    }

    /** Frees a slot and records the outcome of the upstream request. Unknown grants are ignored. */
    release(grantId: GrantId, outcome: SlotOutcomeName, runTime: Milliseconds): void {
        const slot = this.held.get(grantId);
        if (!slot) {
            return;
        }
        this.drop(grantId, slot);
        this.recordOutcome(slot, outcome, runTime);
        this.serve();
    }

    /** Registers a slot that an entry already holds, granted by an earlier steward. */
    adopt(grantId: GrantId, slot: HeldSlot): void {
        if (!this.held.has(grantId)) {
            this.hold(grantId, slot);
        }
    }

    /** Frees the slots of an entry except those that it reports as held. */
    keepOnly(entryId: string, grantIds: ReadonlySet<string>): void {
        for (const [grantId, slot] of this.held) {
            if (slot.entryId === entryId && !grantIds.has(grantId)) {
                this.drop(grantId, slot);
            }
        }
        this.serve();
    }

    /** Clears all held slots, because another steward tracks them from now on. */
    clearHeldSlots(): void {
        this.held.forEach((slot, grantId) => this.drop(grantId, slot));
    }

    stop(): void {
        this.unsubscribe();
        this.refuseAll("shutting-down");
    }

    private getView(request: WaitingRequest): AdmissionView {
        return {
            now: this.options.clock.now(),
            totalSlots: this.totalSlots,
            freeSlots: this.freeSlots,
            workAhead: this.queue.getWorkAhead(request),
            overtakingSlots: this.usage.getOvertakingSlots(request),
            waiting: this.queue.size,
        };
    }

    /** Grants slots until none is free or no request is eligible. */
    private serve(): void {
        const skipped: WaitingRequest[] = [];
        while (!this.paused && this.queue.size > 0 && this.freeSlots > 0 && skipped.length < maximumSkipped) {
            const request = this.pickNext();
            if (!request) {
                break;
            }
            if (this.options.clock.now() + request.plannedRun > request.deadline) {
                this.refuse(request, "deadline-passed");
                continue;
            }
            const upstream = this.pickUpstream(request);
            if (upstream) {
                this.grant(request, upstream);
            }
            else if (this.isServable(request)) {
                this.queue.remove(request.id);
                skipped.push(request);
            }
            else {
                this.refuse(request, "no-upstream");
            }
        }
        skipped.forEach(request => this.queue.add(request));
    }

    /** Returns the waiting request to receive the next slot, or undefined when none is eligible. */
    private pickNext(): WaitingRequest | undefined {
        const isOverShare = (team: string) =>
            (this.heldByTeam.get(team) ?? 0) >= this.options.getTeamShare(team) * this.totalSlots;
        const mayHaveSlot = (request: WaitingRequest) => this.freeSlots > this.getHeadroom(request);
        const aged = this.grantsSinceAged >= grantsPerAgedGrant
            ? this.queue.peek(otherClasses, isOverShare)
            : undefined;
        if (aged && this.options.clock.now() - aged.enqueuedAt > ageingBoundMs) {
            this.grantsSinceAged = 0;
            return aged;
        }
        return this.queue.peek(urgentClasses, isOverShare, mayHaveSlot)
            ?? this.queue.peek(otherClasses, isOverShare, mayHaveSlot);
    }

    /**
     * Slots that must stay free when `request` is granted one. Only long work leaves headroom, because a slot held
     * by short work is soon free again, whether urgent or not. The headroom shrinks as the request waits.
     */
    private getHeadroom(request: WaitingRequest): number {
        if (!this.options.policy.protectsShortWork || !request.long) {
            return 0;
        }
        const wanted = Math.min(
            headroomDeviations * Math.sqrt(this.usage.averageShortSlots),
            this.totalSlots * maximumHeadroomShare,
        );
        const waited = this.options.clock.now() - request.enqueuedAt;
        const remainingShare = Math.max(0, 1 - waited / (headroomWaitFactor * request.expectedRun));
        return Math.round(wanted * remainingShare);
    }

    private pickUpstream(request: WaitingRequest): UpstreamState | undefined {
        const candidates: UpstreamState[] = [];
        for (const upstream of this.upstreams.values()) {
            const isFree = upstream.inUse < upstream.slots
                && (upstream.heldByEntry.get(request.entryId) ?? 0) < upstream.connectionsPerEntry;
            if (isFree && this.health.isUsable(upstream.id) && !request.excludedUpstreams.includes(upstream.id)) {
                candidates.push(upstream);
            }
        }
        const chosen = candidates.length > 0 ? this.options.policy.chooseUpstream(candidates) : undefined;
        return chosen && this.upstreams.get(chosen.id);
    }

    /** False when the request excludes every announced upstream. */
    private isServable(request: WaitingRequest): boolean {
        return [...this.upstreams.keys()].some(id => !request.excludedUpstreams.includes(id));
    }

    private grant(request: WaitingRequest, upstream: UpstreamState): void {
        const grantId = toGrantId(`${this.grantPrefix}-${this.nextGrant++}`);
        this.queue.remove(request.id);
        this.hold(grantId, {
            upstreamId: upstream.id,
            entryId: request.entryId,
            kind: request.kind,
            team: request.team,
            urgent: request.urgent,
            short: request.urgent && !request.long,
        });
        this.health.markGranted(upstream.id);
        this.grantsSinceAged += request.urgent ? 1 : 0;
        this.deliverDecision(request.id, {
            granted: true,
            grantId,
            upstreamId: upstream.id,
            address: upstream.address,
            queued: this.options.clock.now() - request.enqueuedAt,
        });
    }

    private refuse(request: WaitingRequest, reason: RefusalReason): void {
        this.queue.remove(request.id);
        this.deliverDecision(request.id, this.newRefusal(reason));
    }

    private deliverDecision(id: string, decision: SlotDecision): void {
        const listener = this.listeners.get(id);
        this.listeners.delete(id);
        try {
            listener?.(decision);
        }
        catch (error) {
            this.options.logger.error("slot decision not delivered", { id, reason: getErrorMessage(error) });
        }
    }

    private newRefusal(reason: RefusalReason): SlotDecision {
        const wait = this.queue.getWork() / Math.max(1, this.totalSlots);
        return { granted: false, reason, retryAfter: Math.max(shortestRetryAfterMs, wait) };
    }

    private hold(grantId: GrantId, slot: HeldSlot): void {
        this.endRecorders.set(grantId, this.options.runTimes.recordStart(slot.kind));
        this.held.set(grantId, slot);
        this.count(slot, 1);
    }

    private drop(grantId: GrantId, slot: HeldSlot): void {
        this.endRecorders.get(grantId)?.();
        this.endRecorders.delete(grantId);
        this.held.delete(grantId);
        this.count(slot, -1);
    }

    private count(slot: HeldSlot, change: number): void {
        const upstream = this.upstreams.get(slot.upstreamId);
        if (upstream) {
            upstream.inUse += change;
            upstream.heldByEntry.set(slot.entryId, (upstream.heldByEntry.get(slot.entryId) ?? 0) + change);
        }
        this.heldByTeam.set(slot.team, (this.heldByTeam.get(slot.team) ?? 0) + change);
        this.usage.count(slot, change);
    }

    private recordOutcome(slot: HeldSlot, outcome: SlotOutcomeName, runTime: Milliseconds): void {
        switch (outcome) {
            case "answered": {
                this.health.recordSuccess(slot.upstreamId, this.options.runTimes.getSlowness(slot.kind, runTime));
                this.options.runTimes.record(slot.kind, runTime);
                return;
            }
            case "failed":
            case "not-started":
                this.health.recordFailure(slot.upstreamId);
                return;
            case "unused":
                this.health.markUnused(slot.upstreamId);
                return;
        }
    }

    /** Schedules the next check of waiting requests. No timer runs while none wait. */
    private scheduleExpiryCheck(): void {
        if (this.queue.size > 0 && !this.isExpiryCheckScheduled) {
            this.isExpiryCheckScheduled = true;
            this.unsubscribe = this.options.timers.after(expiryPeriodMs, () => {
                this.isExpiryCheckScheduled = false;
                this.expireRequests();
                this.scheduleExpiryCheck();
            });
        }
    }

    /** Refuses requests whose deadline has passed, and serves those whose headroom has shrunk far enough. */
    private expireRequests(): void {
        const now = this.options.clock.now();
        for (const request of this.queue.getAll()) {
            if (now > request.deadline) {
                this.refuse(request, "deadline-passed");
            }
        }
        this.serve();
    }
}
