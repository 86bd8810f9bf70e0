/**
 * Acquires and releases slots of one service on behalf of one entry. Slots are granted by the steward, the entry that
 * coordinates the slots of a service in its zone, which may be this entry itself. While no steward is reachable, the
 * entry grants its own static share. A request that is refused in its zone may spill, that is, be forwarded to the
 * steward of another zone. Only the slot request is forwarded; the request body stays in the entry.
 */

import type { Address, Clock, GrantId, Milliseconds, Timers } from "@anvilmux/common";
import { toAddress, toGrantId } from "@anvilmux/common";
import type { UpstreamAnnouncement } from "@anvilmux/membership";
import type { HeldGrant, StewardHello, StewardReply, StewardRequest } from "@anvilmux/protocol";
import { HeldGrantSchema, StewardReplySchema } from "@anvilmux/protocol";
import type { Logger } from "@anvilmux/telemetry";
import type { PeerClient } from "@anvilmux/transport";
import { create } from "@bufbuild/protobuf";
import { grantReportWaitMs, orphanedGrantRetentionMs, plannedRunPercentile } from "./constants";
import { RunTimes } from "./RunTimes";
import { SlotScheduler } from "./SlotScheduler";
import type { SchedulingPolicy } from "./SlotScheduler";
import { StewardLink } from "./StewardLink";
import { toHeldSlot } from "./stewardMessages";
import type { AcquireRequest } from "./stewardMessages";
import { StewardSession } from "./StewardSession";
import type { RefusalReason, SlotDecision, SlotGranted, SlotOutcomeName, WaitingRequest } from "./types";

/** A steward of a service, in this zone or another. */
export interface StewardAddress {
    readonly instanceId: string;
    readonly address: Address;
}

export interface SlotStrategy {
    /** When false, each entry grants slots by itself, limited to `getOwnSlots` of each upstream. */
    readonly usesSteward: boolean;
    /** Slots of an upstream that an entry uses without a steward. */
    readonly getOwnSlots: (slots: number, entriesInZone: number) => number;
    readonly policy: SchedulingPolicy;
}

export interface ServiceSlotsOptions {
    readonly service: string;
    readonly entryId: string;
    readonly zone: string;
    readonly strategy: SlotStrategy;
    readonly clock: Clock;
    readonly timers: Timers;
    readonly logger: Logger;
    readonly getTeamShare: (team: string) => number;
    /** The steward of a zone in this entry's view of the members; undefined while the zone has no ready entry. */
    readonly getSteward: (zone: string) => StewardAddress | undefined;
    readonly getEntriesInZone: () => number;
    readonly getEntriesInAllZones: () => number;
    /** Consumes one of the free slots that other zones reported; false when none is left. */
    readonly takeRemoteFreeSlot: () => boolean;
    /** Returns another zone with free slots for the service, or undefined. */
    readonly pickOtherZone: () => string | undefined;
    readonly connect: (address: Address) => PeerClient;
    readonly onMessage: (kind: string) => void;
}

interface TrackedGrant {
    readonly grant: HeldGrant;
    readonly heldSince: Milliseconds;
    /** Zone of the steward that granted the slot; undefined for a slot of this entry's own share. */
    readonly grantedIn: string | undefined;
}

const reconnectDelayMs = 50;

/** Refusals after which the request spills to one other zone. */
const spillReasons: ReadonlySet<RefusalReason> = new Set(["no-upstream", "deadline-out-of-reach", "try-elsewhere"]);

export class ServiceSlots {
    readonly runTimes: RunTimes;
    /** Used while this entry is the steward. */
    readonly zoneScheduler: SlotScheduler;
    /** Used while no steward is reachable, or always when the strategy has none. */
    readonly ownScheduler: SlotScheduler;
    private readonly links = new Map<string, StewardLink>();
    private readonly reconnectAt = new Map<string, Milliseconds>();
    private readonly held = new Map<GrantId, TrackedGrant>();
    private readonly sessions = new Map<string, StewardSession>();
    private isSteward = false;
    private nextLocalRequest = 0;
    private stopped = false;

    constructor(private readonly options: ServiceSlotsOptions) {
        const { clock, timers, logger, getTeamShare, strategy } = options;
        this.runTimes = new RunTimes(clock);
        const shared = { clock, timers, logger, getTeamShare, runTimes: this.runTimes, policy: strategy.policy };
        this.zoneScheduler = new SlotScheduler({ ...shared, takeRemoteFreeSlot: options.takeRemoteFreeSlot });
        this.ownScheduler = new SlotScheduler({ ...shared, takeRemoteFreeSlot: () => false });
    }

    get isZoneSteward(): boolean {
        return this.isSteward;
    }

    /** Applies the announced upstreams and the current membership. */
    update(upstreams: readonly UpstreamAnnouncement[]): void {
        const { strategy, getEntriesInZone, getEntriesInAllZones } = this.options;
        const entriesInZone = Math.max(1, getEntriesInZone());
        const entriesInAllZones = Math.max(1, getEntriesInAllZones());
        const toSlots = (getSlots: (slots: number) => number) =>
            upstreams.map(upstream => ({
                id: upstream.id,
                address: toAddress(upstream.address),
                slots: getSlots(upstream.slots),
                connectionsPerEntry: Math.max(1, Math.floor(upstream.connections / entriesInAllZones)),
            }));
        this.zoneScheduler.updateUpstreams(toSlots(slots => slots));
        this.ownScheduler.updateUpstreams(toSlots(slots => strategy.getOwnSlots(slots, entriesInZone)));
        this.updateStewardship();
    }

    /** Acquires a slot, or returns the refusal. Aborting `signal` withdraws the request. */
    async acquire(request: AcquireRequest, signal: AbortSignal): Promise<SlotDecision> {
        const deadline = this.options.clock.now() + request.remaining;
        let maySpill = request.maySpill && this.options.strategy.usesSteward;
        for (;;) {
            const remaining = deadline - this.options.clock.now();
            const decision = await this.acquireInZone({ ...request, remaining, maySpill }, signal);
            if (decision === undefined || (!decision.granted && decision.reason === "steward-unreachable")) {
                continue;
            }
            if (decision.granted || !maySpill || !spillReasons.has(decision.reason)) {
                return decision;
            }
            maySpill = false;
            const spilled = await this.acquireInOtherZone(request, deadline, signal);
            if (spilled) {
                return spilled;
            }
            if (decision.reason !== "try-elsewhere") {
                return decision;
            }
        }
    }

    /** Returns a slot to the current steward and reports the outcome of the upstream request. */
    release(grantId: GrantId, outcome: SlotOutcomeName, runTime: Milliseconds): void {
        const held = this.held.get(grantId);
        if (!held) {
            return;
        }
        this.held.delete(grantId);
        if (held.grantedIn === undefined) {
            this.ownScheduler.release(grantId, outcome, runTime);
        }
        else if (held.grantedIn === this.options.zone && this.isSteward) {
            this.zoneScheduler.release(grantId, outcome, runTime);
        }
        else {
            this.getLinkTo(held.grantedIn)?.release(grantId, outcome, runTime);
        }
    }

    /** Serves the stream of another entry, or declines it while this entry is not the steward. */
    async *serveStream(hello: StewardHello, requests: AsyncIterator<StewardRequest>): AsyncIterable<StewardReply> {
        if (!this.isSteward || this.stopped) {
            yield create(StewardReplySchema, { accepted: false });
            return;
        }
        const session = new StewardSession(hello, {
            scheduler: this.zoneScheduler,
            toWaitingRequest: (request, id, entryId) => this.toWaitingRequest(request, id, entryId),
            isLong: kind => this.runTimes.isLong(kind),
            onMessage: () => this.options.onMessage("steward-reply"),
        });
        this.sessions.get(hello.entryId)?.end();
        this.sessions.set(hello.entryId, session);
        yield* session.run(requests);
        this.scheduleSessionExpiry(session);
    }

    stop(): void {
        this.stopped = true;
        this.links.forEach(link => link.close());
        this.sessions.forEach(session => session.end());
        this.zoneScheduler.stop();
        this.ownScheduler.stop();
    }

    /** Returns undefined when the stream to the steward ended; the request is then repeated. */
    private async acquireInZone(request: AcquireRequest, signal: AbortSignal): Promise<SlotDecision | undefined> {
        const { zone, strategy } = this.options;
        if (strategy.usesSteward && !this.stopped) {
            if (this.isSteward) {
                return this.acquireLocally(this.zoneScheduler, request, signal, zone);
            }
            const link = this.getLinkTo(zone);
            if (link?.isUp) {
                return this.acquireThrough(link, request, signal, zone);
            }
        }
        return this.acquireLocally(this.ownScheduler, request, signal, undefined);
    }

    private async acquireInOtherZone(
        request: AcquireRequest,
        deadline: Milliseconds,
        signal: AbortSignal,
    ): Promise<SlotDecision | undefined> {
        const zone = this.options.pickOtherZone();
        const link = zone === undefined ? undefined : this.getLinkTo(zone);
        if (zone === undefined || !link?.isUp) {
            return undefined;
        }
        const remaining = deadline - this.options.clock.now();
        const decision = await this.acquireThrough(link, { ...request, remaining, forwarded: true }, signal, zone);
        return decision?.granted ? decision : undefined;
    }

    private async acquireThrough(
        link: StewardLink,
        request: AcquireRequest,
        signal: AbortSignal,
        zone: string,
    ): Promise<SlotDecision | undefined> {
        const decision = await link.requestSlot(request, signal);
        if (decision?.granted) {
            this.hold(decision, request, zone);
        }
        return decision;
    }

    private acquireLocally(
        scheduler: SlotScheduler,
        request: AcquireRequest,
        signal: AbortSignal,
        zone: string | undefined,
    ): Promise<SlotDecision | undefined> {
        const id = `local/${this.nextLocalRequest++}`;
        return new Promise(resolve => {
            const withdraw = () => {
                scheduler.cancel(id);
                resolve({ granted: false, reason: "caller-left", retryAfter: 0 });
            };
            signal.addEventListener("abort", withdraw);
            scheduler.request(this.toWaitingRequest(request, id, this.options.entryId), decision => {
                signal.removeEventListener("abort", withdraw);
                if (decision.granted) {
                    this.hold(decision, request, zone);
                }
                resolve(decision);
            });
        });
    }

    private hold(decision: SlotGranted, request: AcquireRequest, grantedIn: string | undefined): void {
        const grant = create(HeldGrantSchema, {
            grantId: decision.grantId,
            upstreamId: decision.upstreamId,
            workKind: request.kind,
            team: request.team,
            urgent: request.urgent,
        });
        this.held.set(decision.grantId, { grant, heldSince: this.options.clock.now(), grantedIn });
    }

    private toWaitingRequest(request: AcquireRequest, id: string, entryId: string): WaitingRequest {
        const now = this.options.clock.now();
        return {
            id,
            entryId,
            kind: request.kind,
            team: request.team,
            urgent: request.urgent,
            enqueuedAt: now,
            deadline: now + request.remaining,
            expectedRun: this.runTimes.getExpected(request.kind),
            plannedRun: this.runTimes.getPercentile(request.kind, plannedRunPercentile),
            long: this.runTimes.isLong(request.kind),
            excludedUpstreams: request.excludedUpstreams,
            forwarded: request.forwarded,
            maySpill: request.maySpill,
        };
    }

    /** Assumes or resigns stewardship as needed, and opens the stream to the current steward. */
    private updateStewardship(): void {
        if (!this.options.strategy.usesSteward || this.stopped) {
            return;
        }
        const steward = this.options.getSteward(this.options.zone);
        const shouldBeSteward = steward?.instanceId === this.options.entryId;
        if (shouldBeSteward && !this.isSteward) {
            this.assumeStewardship();
        }
        else if (!shouldBeSteward && this.isSteward) {
            this.resignStewardship();
        }
        this.closeFormerLinks(steward?.instanceId);
        if (steward && !shouldBeSteward) {
            this.getLink(steward, this.options.zone);
        }
    }

    /** Closes streams to former stewards of this zone, which then free the slots that they granted to this entry. */
    private closeFormerLinks(stewardId: string | undefined): void {
        for (const [instanceId, link] of this.links) {
            if (link.stewardZone === this.options.zone && instanceId !== stewardId) {
                link.close();
            }
            if (link.isEnded) {
                this.links.delete(instanceId);
            }
        }
    }

    private assumeStewardship(): void {
        this.isSteward = true;
        this.getGrantsOf(this.options.zone).forEach(grant => {
            const slot = toHeldSlot(grant, this.options.entryId, this.runTimes.isLong(grant.workKind));
            this.zoneScheduler.adopt(toGrantId(grant.grantId), slot);
        });
        if (this.options.getEntriesInZone() > 1) {
            this.zoneScheduler.setPaused(true);
            this.options.timers.after(grantReportWaitMs, () => this.zoneScheduler.setPaused(false));
        }
        this.options.logger.info("stewardship assumed", { service: this.options.service });
    }

    private resignStewardship(): void {
        this.isSteward = false;
        this.zoneScheduler.refuseAll("steward-unreachable");
        this.zoneScheduler.clearHeldSlots();
        this.sessions.forEach(session => session.end());
        this.sessions.clear();
        this.options.logger.info("stewardship resigned", { service: this.options.service });
    }

    /** The stream to the steward of a zone; undefined while there is none, or when this entry is the steward. */
    private getLinkTo(zone: string): StewardLink | undefined {
        const steward = this.options.getSteward(zone);
        return steward && steward.instanceId !== this.options.entryId ? this.getLink(steward, zone) : undefined;
    }

    /** The stream to a steward, reopened after a short delay when it has ended. */
    private getLink(steward: StewardAddress, stewardZone: string): StewardLink | undefined {
        const existing = this.links.get(steward.instanceId);
        if (existing && !existing.isEnded) {
            return existing;
        }
        const now = this.options.clock.now();
        if (now < (this.reconnectAt.get(steward.instanceId) ?? 0) || this.stopped) {
            return undefined;
        }
        this.reconnectAt.set(steward.instanceId, now + reconnectDelayMs);
        const { service, entryId, zone, clock, timers, logger } = this.options;
        const link = new StewardLink({
            service,
            entryId,
            zone,
            clock,
            timers,
            logger,
            stewardId: steward.instanceId,
            stewardZone,
            peer: this.options.connect(steward.address),
            getHeldGrants: () => this.getGrantsOf(stewardZone),
            onMessage: () => this.options.onMessage("steward-request"),
            onLateGrant: grantId => logger.debug("grant arrived after its request was withdrawn", { grantId }),
        });
        this.links.set(steward.instanceId, link);
        void link.run();
        return link;
    }

    /** Grants from a zone's stewards that this entry holds, for reporting to the current steward of the zone. */
    private getGrantsOf(zone: string): readonly HeldGrant[] {
        const now = this.options.clock.now();
        return [...this.held.values()].filter(item => item.grantedIn === zone).map(item =>
            create(HeldGrantSchema, { ...item.grant, heldMs: now - item.heldSince })
        );
    }

    /** Frees an entry's slots unless it opens a new stream within `orphanedGrantRetentionMs`. */
    private scheduleSessionExpiry(session: StewardSession): void {
        const { entryId } = session.hello;
        if (this.sessions.get(entryId) !== session) {
            return;
        }
        this.options.timers.after(orphanedGrantRetentionMs, () => {
            if (this.sessions.get(entryId) === session) {
                this.sessions.delete(entryId);
                this.zoneScheduler.keepOnly(entryId, new Set());
            }
        });
    }
}
