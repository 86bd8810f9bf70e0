/**
 * The slots of one service as one entry uses them: through the zone's steward, which may be this entry itself, or
 * through its own static share while no steward answers. Whoever grants, the request body never leaves the entry.
 */

import type { Address, Clock, GrantId, Milliseconds, Timers } from "@anvilmux/common";
import { toAddress, toGrantId } from "@anvilmux/common";
import type { UpstreamAnnouncement } from "@anvilmux/membership";
import type { HeldGrant, StewardHello, StewardReply, StewardRequest } from "@anvilmux/protocol";
import { HeldGrantSchema, StewardReplySchema } from "@anvilmux/protocol";
import type { Logger } from "@anvilmux/telemetry";
import type { PeerClient } from "@anvilmux/transport";
import { create } from "@bufbuild/protobuf";
import { orphanedGrantMs, plannedRunPercentile, stewardSettleMs } from "./constants";
import { RunTimes } from "./RunTimes";
import { SlotScheduler } from "./SlotScheduler";
import type { SchedulingPolicy } from "./SlotScheduler";
import { StewardLink } from "./StewardLink";
import { toHeldSlot } from "./stewardMessages";
import type { SlotAsk } from "./stewardMessages";
import { StewardSession } from "./StewardSession";
import type { RefusalReason, SlotDecision, SlotGranted, SlotOutcomeName, WaitingRequest } from "./types";

/** A steward of a service, in this zone or another. */
export interface StewardAddress {
    readonly instanceId: string;
    readonly address: Address;
}

export interface SlotStrategy {
    /** False makes each entry decide alone, with `getOwnSlots` of each upstream. */
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
    /** The steward by this entry's view; undefined while there is no ready entry. */
    readonly getSteward: (zone: string) => StewardAddress | undefined;
    readonly getEntriesInZone: () => number;
    readonly getEntriesEverywhere: () => number;
    /** Uses up one of the free slots that other zones reported; false when none is left. */
    readonly takeSpareElsewhere: () => boolean;
    /** Another zone with free slots for the service. */
    readonly pickOtherZone: () => string | undefined;
    readonly connect: (address: Address) => PeerClient;
    readonly onMessage: (kind: string) => void;
}

interface HeldHere {
    readonly grant: HeldGrant;
    readonly heldSince: Milliseconds;
    /** Zone whose steward granted the slot; undefined for a slot of this entry's own share. */
    readonly grantedIn: string | undefined;
}

const reconnectPauseMs = 50;

/** Refusals after which one other zone is asked. */
const triesElsewhere: ReadonlySet<RefusalReason> = new Set(["no-upstream", "deadline-out-of-reach", "try-elsewhere"]);

export class ServiceSlots {
    readonly runTimes: RunTimes;
    /** Used while this entry is the steward. */
    readonly zoneScheduler: SlotScheduler;
    /** Used while no steward answers, or always when the strategy has none. */
    readonly ownScheduler: SlotScheduler;
    private readonly links = new Map<string, StewardLink>();
    private readonly reconnectAt = new Map<string, Milliseconds>();
    private readonly held = new Map<GrantId, HeldHere>();
    private readonly sessions = new Map<string, StewardSession>();
    private isSteward = false;
    private nextLocalRequest = 0;
    private stopped = false;

    constructor(private readonly options: ServiceSlotsOptions) {
        const { clock, timers, logger, getTeamShare, strategy } = options;
        this.runTimes = new RunTimes(clock);
        const shared = { clock, timers, logger, getTeamShare, runTimes: this.runTimes, policy: strategy.policy };
        this.zoneScheduler = new SlotScheduler({ ...shared, takeSpareElsewhere: options.takeSpareElsewhere });
        this.ownScheduler = new SlotScheduler({ ...shared, takeSpareElsewhere: () => false });
    }

    get isZoneSteward(): boolean {
        return this.isSteward;
    }

    /** Takes over announced upstreams and the present members. */
    update(upstreams: readonly UpstreamAnnouncement[]): void {
        const { strategy, getEntriesInZone, getEntriesEverywhere } = this.options;
        const entriesInZone = Math.max(1, getEntriesInZone());
        const entriesEverywhere = Math.max(1, getEntriesEverywhere());
        const toSlots = (getSlots: (slots: number) => number) =>
            upstreams.map(upstream => ({
                id: upstream.id,
                address: toAddress(upstream.address),
                slots: getSlots(upstream.slots),
                connectionsPerEntry: Math.max(1, Math.floor(upstream.connections / entriesEverywhere)),
            }));
        this.zoneScheduler.updateUpstreams(toSlots(slots => slots));
        this.ownScheduler.updateUpstreams(toSlots(slots => strategy.getOwnSlots(slots, entriesInZone)));
        this.followSteward();
    }

    /** Gets a slot or a refusal. An aborted `signal` withdraws the request. */
    async acquire(ask: SlotAsk, signal: AbortSignal): Promise<SlotDecision> {
        const deadline = this.options.clock.now() + ask.remaining;
        let maySpill = ask.maySpill && this.options.strategy.usesSteward;
        for (;;) {
            const remaining = deadline - this.options.clock.now();
            const decision = await this.acquireInZone({ ...ask, remaining, maySpill }, signal);
            if (decision === undefined || (!decision.granted && decision.reason === "steward-unreachable")) {
                continue;
            }
            if (decision.granted || !maySpill || !triesElsewhere.has(decision.reason)) {
                return decision;
            }
            maySpill = false;
            const spilled = await this.acquireElsewhere(ask, deadline, signal);
            if (spilled) {
                return spilled;
            }
            if (decision.reason !== "try-elsewhere") {
                return decision;
            }
        }
    }

    /** Gives a slot back, to whoever is steward now, and tells how the exchange ended. */
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

    /** Serves another entry's stream. */
    async *serveStream(hello: StewardHello, requests: AsyncIterator<StewardRequest>): AsyncIterable<StewardReply> {
        if (!this.isSteward || this.stopped) {
            yield create(StewardReplySchema, { accepted: false });
            return;
        }
        const session = new StewardSession(hello, {
            scheduler: this.zoneScheduler,
            toWaitingRequest: (ask, id, entryId) => this.toWaitingRequest(ask, id, entryId),
            isLong: kind => this.runTimes.isLong(kind),
            onMessage: () => this.options.onMessage("steward-reply"),
        });
        this.sessions.get(hello.entryId)?.end();
        this.sessions.set(hello.entryId, session);
        yield* session.run(requests);
        this.forgetSession(session);
    }

    stop(): void {
        this.stopped = true;
        this.links.forEach(link => link.close());
        this.sessions.forEach(session => session.end());
        this.zoneScheduler.stop();
        this.ownScheduler.stop();
    }

    /** `undefined` asks the caller to try again: the steward changed meanwhile. */
    private async acquireInZone(ask: SlotAsk, signal: AbortSignal): Promise<SlotDecision | undefined> {
        const { zone, strategy } = this.options;
        if (strategy.usesSteward && !this.stopped) {
            if (this.isSteward) {
                return this.acquireLocally(this.zoneScheduler, ask, signal, zone);
            }
            const link = this.getLinkTo(zone);
            if (link?.isUp) {
                return this.acquireThrough(link, ask, signal, zone);
            }
        }
        return this.acquireLocally(this.ownScheduler, ask, signal, undefined);
    }

    private async acquireElsewhere(
        ask: SlotAsk,
        deadline: Milliseconds,
        signal: AbortSignal,
    ): Promise<SlotDecision | undefined> {
        const zone = this.options.pickOtherZone();
        const link = zone === undefined ? undefined : this.getLinkTo(zone);
        if (zone === undefined || !link?.isUp) {
            return undefined;
        }
        const remaining = deadline - this.options.clock.now();
        const decision = await this.acquireThrough(link, { ...ask, remaining, forwarded: true }, signal, zone);
        return decision?.granted ? decision : undefined;
    }

    private async acquireThrough(
        link: StewardLink,
        ask: SlotAsk,
        signal: AbortSignal,
        zone: string,
    ): Promise<SlotDecision | undefined> {
        const decision = await link.ask(ask, signal);
        if (decision?.granted) {
            this.hold(decision, ask, zone);
        }
        return decision;
    }

    private acquireLocally(
        scheduler: SlotScheduler,
        ask: SlotAsk,
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
            scheduler.request(this.toWaitingRequest(ask, id, this.options.entryId), decision => {
                signal.removeEventListener("abort", withdraw);
                if (decision.granted) {
                    this.hold(decision, ask, zone);
                }
                resolve(decision);
            });
        });
    }

    private hold(decision: SlotGranted, ask: SlotAsk, grantedIn: string | undefined): void {
        const grant = create(HeldGrantSchema, {
            grantId: decision.grantId,
            upstreamId: decision.upstreamId,
            workKind: ask.kind,
            team: ask.team,
            urgent: ask.urgent,
        });
        this.held.set(decision.grantId, { grant, heldSince: this.options.clock.now(), grantedIn });
    }

    private toWaitingRequest(ask: SlotAsk, id: string, entryId: string): WaitingRequest {
        const now = this.options.clock.now();
        return {
            id,
            entryId,
            kind: ask.kind,
            team: ask.team,
            urgent: ask.urgent,
            enqueuedAt: now,
            deadline: now + ask.remaining,
            expectedRun: this.runTimes.getExpected(ask.kind),
            plannedRun: this.runTimes.getPercentile(ask.kind, plannedRunPercentile),
            long: this.runTimes.isLong(ask.kind),
            excludedUpstreams: ask.excludedUpstreams,
            forwarded: ask.forwarded,
            maySpill: ask.maySpill,
        };
    }

    /** Takes stewardship up or lays it down, and opens the stream to the present steward. */
    private followSteward(): void {
        if (!this.options.strategy.usesSteward || this.stopped) {
            return;
        }
        const steward = this.options.getSteward(this.options.zone);
        const shouldLead = steward?.instanceId === this.options.entryId;
        if (shouldLead && !this.isSteward) {
            this.takeStewardship();
        }
        else if (!shouldLead && this.isSteward) {
            this.layDownStewardship();
        }
        this.closeFormerLinks(steward?.instanceId);
        if (steward && !shouldLead) {
            this.getLink(steward, this.options.zone);
        }
    }

    /** Closes the stream to a former steward of this zone, which then frees what it granted here. */
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

    private takeStewardship(): void {
        this.isSteward = true;
        this.getGrantsOf(this.options.zone).forEach(grant => {
            const slot = toHeldSlot(grant, this.options.entryId, this.runTimes.isLong(grant.workKind));
            this.zoneScheduler.adopt(toGrantId(grant.grantId), slot);
        });
        if (this.options.getEntriesInZone() > 1) {
            this.zoneScheduler.setPaused(true);
            this.options.timers.after(stewardSettleMs, () => this.zoneScheduler.setPaused(false));
        }
        this.options.logger.info("stewardship taken", { service: this.options.service });
    }

    private layDownStewardship(): void {
        this.isSteward = false;
        this.zoneScheduler.refuseAll("steward-unreachable");
        this.zoneScheduler.forgetHeld();
        this.sessions.forEach(session => session.end());
        this.sessions.clear();
        this.options.logger.info("stewardship laid down", { service: this.options.service });
    }

    /** The stream to the steward of a zone; undefined while there is none, or when it is this entry. */
    private getLinkTo(zone: string): StewardLink | undefined {
        const steward = this.options.getSteward(zone);
        return steward && steward.instanceId !== this.options.entryId ? this.getLink(steward, zone) : undefined;
    }

    /** The stream to a steward, opened again when it ended, after a short pause. */
    private getLink(steward: StewardAddress, stewardZone: string): StewardLink | undefined {
        const present = this.links.get(steward.instanceId);
        if (present && !present.isEnded) {
            return present;
        }
        const now = this.options.clock.now();
        if (now < (this.reconnectAt.get(steward.instanceId) ?? 0) || this.stopped) {
            return undefined;
        }
        this.reconnectAt.set(steward.instanceId, now + reconnectPauseMs);
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
            onUnwanted: grantId => logger.debug("grant came too late", { grantId }),
        });
        this.links.set(steward.instanceId, link);
        void link.run();
        return link;
    }

    /** Grants held here that a zone's steward gave, for its successor. */
    private getGrantsOf(zone: string): readonly HeldGrant[] {
        const now = this.options.clock.now();
        return [...this.held.values()].filter(item => item.grantedIn === zone).map(item =>
            create(HeldGrantSchema, { ...item.grant, heldMs: now - item.heldSince })
        );
    }

    /** Frees an entry's slots when it does not come back soon. */
    private forgetSession(session: StewardSession): void {
        const { entryId } = session.hello;
        if (this.sessions.get(entryId) !== session) {
            return;
        }
        this.options.timers.after(orphanedGrantMs, () => {
            if (this.sessions.get(entryId) === session) {
                this.sessions.delete(entryId);
                this.zoneScheduler.keepOnly(entryId, new Set());
            }
        });
    }
}
