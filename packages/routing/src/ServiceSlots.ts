/**
 * The slots of one service as one entry uses them: through the zone's steward, which may be this entry itself, or
 * through its own static share while no steward answers. Whoever grants, the request body never leaves the entry.
 */

import type { Address, Clock, GrantId, Milliseconds, Timers } from "@anvilmux/common";
import { toAddress } from "@anvilmux/common";
import type { UpstreamAnnouncement } from "@anvilmux/membership";
import type { HeldGrant, StewardHello, StewardReply, StewardRequest } from "@anvilmux/protocol";
import { HeldGrantSchema, StewardReplySchema } from "@anvilmux/protocol";
import type { Logger } from "@anvilmux/telemetry";
import type { PeerClient } from "@anvilmux/transport";
import { create } from "@bufbuild/protobuf";
import { orphanedGrantMs, stewardSettleMs } from "./constants";
import { RunTimes } from "./RunTimes";
import { SlotScheduler } from "./SlotScheduler";
import type { SchedulingPolicy } from "./SlotScheduler";
import { StewardLink } from "./StewardLink";
import type { SlotAsk } from "./stewardMessages";
import { StewardSession } from "./StewardSession";
import type { SlotDecision, SlotOutcomeName, WaitingRequest } from "./types";

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
    /** Another zone with free slots for the service. */
    readonly pickOtherZone: () => string | undefined;
    readonly connect: (address: Address) => PeerClient;
    readonly onMessage: (kind: string) => void;
}

interface HeldHere {
    readonly grant: HeldGrant;
    readonly heldSince: Milliseconds;
    readonly release: (outcome: SlotOutcomeName, runTime: Milliseconds) => void;
}

const reconnectPauseMs = 50;

export class ServiceSlots {
    readonly runTimes = new RunTimes();
    /** Used while this entry is the steward. */
    readonly zoneScheduler: SlotScheduler;
    /** Used while no steward answers, or always when the strategy has none. */
    readonly ownScheduler: SlotScheduler;
    private readonly links = new Map<string, StewardLink>();
    private readonly reconnectAt = new Map<string, Milliseconds>();
    private readonly held = new Map<GrantId, HeldHere>();
    private readonly sessions = new Map<string, StewardSession>();
    private isSteward = false;
    private upstreams: readonly UpstreamAnnouncement[] = [];
    private nextLocalRequest = 0;
    private stopped = false;

    constructor(private readonly options: ServiceSlotsOptions) {
        const { clock, timers, logger, getTeamShare, strategy } = options;
        const shared = { clock, timers, logger, getTeamShare, runTimes: this.runTimes, policy: strategy.policy };
        this.zoneScheduler = new SlotScheduler(shared);
        this.ownScheduler = new SlotScheduler(shared);
    }

    get isZoneSteward(): boolean {
        return this.isSteward;
    }

    /** Takes over announced upstreams and the present members. */
    update(upstreams: readonly UpstreamAnnouncement[]): void {
        this.upstreams = upstreams;
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
        for (;;) {
            const remaining = deadline - this.options.clock.now();
            const decision = await this.acquireInZone({ ...ask, remaining }, signal);
            if (decision === undefined || (!decision.granted && decision.reason === "steward-unreachable")) {
                continue;
            }
            const mayTryElsewhere = !decision.granted && this.options.strategy.usesSteward
                && (decision.reason === "no-upstream" || decision.reason === "deadline-out-of-reach");
            return mayTryElsewhere ? await this.acquireElsewhere(ask, deadline, signal) ?? decision : decision;
        }
    }

    /** Gives a slot back and tells how the exchange ended. */
    release(grantId: GrantId, outcome: SlotOutcomeName, runTime: Milliseconds): void {
        const held = this.held.get(grantId);
        this.held.delete(grantId);
        held?.release(outcome, runTime);
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
            isShort: (kind, urgent) => urgent && !this.runTimes.isLong(kind),
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
        if (this.options.strategy.usesSteward && !this.stopped) {
            if (this.isSteward) {
                return this.acquireLocally(this.zoneScheduler, ask, signal, true);
            }
            const link = this.getZoneLink();
            if (link?.isUp) {
                return this.acquireThrough(link, ask, signal);
            }
        }
        return this.acquireLocally(this.ownScheduler, ask, signal, false);
    }

    private async acquireElsewhere(
        ask: SlotAsk,
        deadline: Milliseconds,
        signal: AbortSignal,
    ): Promise<SlotDecision | undefined> {
        const zone = this.options.pickOtherZone();
        const steward = zone === undefined ? undefined : this.options.getSteward(zone);
        const link = steward && this.getLink(steward);
        if (!link?.isUp) {
            return undefined;
        }
        const remaining = deadline - this.options.clock.now();
        const decision = await this.acquireThrough(link, { ...ask, remaining, forwarded: true }, signal);
        return decision?.granted ? decision : undefined;
    }

    private async acquireThrough(
        link: StewardLink,
        ask: SlotAsk,
        signal: AbortSignal,
    ): Promise<SlotDecision | undefined> {
        const decision = await link.ask(ask, signal);
        if (decision?.granted) {
            this.hold(decision, ask, !ask.forwarded, (outcome, runTime) => {
                const current = ask.forwarded ? link : this.getZoneLink();
                if (this.isSteward && !ask.forwarded) {
                    this.zoneScheduler.release(decision.grantId, outcome, runTime);
                }
                else {
                    current?.release(decision.grantId, outcome, runTime);
                }
            });
        }
        return decision;
    }

    private acquireLocally(
        scheduler: SlotScheduler,
        ask: SlotAsk,
        signal: AbortSignal,
        ofZone: boolean,
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
                    this.hold(decision, ask, ofZone, (outcome, runTime) => {
                        if (ofZone && !this.isSteward) {
                            this.getZoneLink()?.release(decision.grantId, outcome, runTime);
                        }
                        scheduler.release(decision.grantId, outcome, runTime);
                    });
                }
                const moved = !decision.granted && decision.reason === "steward-unreachable";
                resolve(moved ? undefined : decision);
            });
        });
    }

    private hold(
        decision: Extract<SlotDecision, { granted: true; }>,
        ask: SlotAsk,
        ofZone: boolean,
        release: HeldHere["release"],
    ): void {
        const grant = create(HeldGrantSchema, {
            grantId: decision.grantId,
            upstreamId: decision.upstreamId,
            workKind: ask.kind,
            team: ask.team,
            urgent: ask.urgent,
        });
        // Only grants of the own zone's steward are reported to its successor.
        const reported = ofZone ? grant : create(HeldGrantSchema);
        this.held.set(decision.grantId, { grant: reported, heldSince: this.options.clock.now(), release });
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
            long: this.runTimes.isLong(ask.kind),
            excludedUpstreams: ask.excludedUpstreams,
            forwarded: ask.forwarded,
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
        for (const [instanceId, link] of this.links) {
            if (link.isEnded) {
                this.links.delete(instanceId);
            }
        }
        if (steward && !shouldLead) {
            this.getLink(steward);
        }
    }

    private takeStewardship(): void {
        this.isSteward = true;
        this.getReportedGrants().forEach(grant =>
            this.zoneScheduler.adopt(grant.grantId as GrantId, {
                upstreamId: grant.upstreamId,
                entryId: this.options.entryId,
                kind: grant.workKind,
                team: grant.team,
                urgent: grant.urgent,
                short: grant.urgent && !this.runTimes.isLong(grant.workKind),
            })
        );
        if (this.options.getEntriesInZone() > 1) {
            this.zoneScheduler.setPaused(true);
            this.options.timers.after(stewardSettleMs, () => this.zoneScheduler.setPaused(false));
        }
        this.options.logger.info("stewardship taken", { service: this.options.service });
    }

    private layDownStewardship(): void {
        this.isSteward = false;
        this.zoneScheduler.refuseAll("steward-unreachable");
        this.sessions.forEach(session => session.end());
        this.sessions.clear();
        this.options.logger.info("stewardship laid down", { service: this.options.service });
    }

    private getZoneLink(): StewardLink | undefined {
        const steward = this.options.getSteward(this.options.zone);
        return steward && steward.instanceId !== this.options.entryId ? this.getLink(steward) : undefined;
    }

    /** The stream to a steward, opened again when it ended, after a short pause. */
    private getLink(steward: StewardAddress): StewardLink | undefined {
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
            peer: this.options.connect(steward.address),
            getHeldGrants: () => this.getReportedGrants(),
            onMessage: () => this.options.onMessage("steward-request"),
            onUnwanted: grantId => logger.debug("grant came too late", { grantId }),
        });
        this.links.set(steward.instanceId, link);
        void link.run();
        return link;
    }

    private getReportedGrants(): readonly HeldGrant[] {
        const now = this.options.clock.now();
        return [...this.held.values()].filter(item => item.grant.grantId !== "").map(item =>
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

    /** The upstreams announced in this zone. */
    getUpstreams(): readonly UpstreamAnnouncement[] {
        return this.upstreams;
    }
}
