/**
 * Gossip membership of instances. In periodic rounds an instance exchanges digests with instances of its own zone, in
 * turn, and with a random one of another zone. Local changes are pushed to the own zone at once. Zone-scoped records
 * never leave their zone.
 */

import { getErrorMessage, pickOne, safeParseJson, toAddress } from "@anvilmux/common";
import type { Address, Clock, Milliseconds, Random, Timers, Unsubscribe } from "@anvilmux/common";
import type { GossipReply, GossipRequest, MemberDigest, MemberRecord, MemberState } from "@anvilmux/protocol";
import { GossipReplySchema, GossipRequestSchema } from "@anvilmux/protocol";
import type { Logger } from "@anvilmux/telemetry";
import { create } from "@bufbuild/protobuf";
import Emittery from "emittery";
import {
    gossipPeriodMs,
    gossipTimeoutMs,
    joiningRoundDelaysMs,
    maximumDigestsPerMessage,
    memberListCacheMs,
    otherZoneRoundInterval,
    otherZoneTimeoutFactor,
    seedRoundInterval,
    zoneTargetsPerRound,
} from "./constants";
import { MemberTable } from "./MemberTable";
import { instanceRecordSchema } from "./types";
import type { InstanceRecord, Member } from "./types";

/** Sends one gossip message and waits for the reply. */
export type SendGossip = (address: Address, request: GossipRequest, timeoutMs: number) => Promise<GossipReply>;

export interface MembershipOptions {
    readonly instanceId: string;
    readonly zone: string;
    readonly incarnation: number;
    /** Peer addresses contacted while no other instance is known, and every few rounds to rejoin after a partition. */
    readonly seeds: readonly Address[];
    readonly clock: Clock;
    readonly timers: Timers;
    readonly random: Random;
    readonly logger: Logger;
    readonly send: SendGossip;
}

interface GossipTarget {
    readonly address: Address;
    /** Empty when the zone is unknown. */
    readonly zone: string;
}

export interface MembershipEvents {
    /** Records of a member changed. */
    readonly changed: { readonly memberId: string; readonly keys: readonly string[]; };
}

const instanceKey = "instance";

export class Membership {
    readonly events = new Emittery<MembershipEvents>();
    private readonly table: MemberTable;
    private readonly parsed = new Map<string, { readonly text: string; readonly record: InstanceRecord; }>();
    private unsubscribe: Unsubscribe = () => undefined;
    private memberList: { readonly at: Milliseconds; readonly members: readonly Member[]; } | undefined;
    private round = 0;
    private nextZoneTarget = 0;
    private isPushScheduled = false;
    private stopped = false;

    constructor(private readonly options: MembershipOptions) {
        this.table = new MemberTable(
            options.instanceId,
            options.incarnation,
            options.clock,
            (memberId, records) => this.emitChange(memberId, records),
        );
    }

    start(): void {
        const { timers } = this.options;
        const unsubscribes = [
            timers.every(gossipPeriodMs, () => void this.runRound()),
            ...joiningRoundDelaysMs.map(delay => timers.after(delay, () => void this.runRound())),
        ];
        this.unsubscribe = () => unsubscribes.forEach(unsubscribe => unsubscribe());
        void this.runRound();
    }

    stop(): void {
        this.stopped = true;
        this.unsubscribe();
    }

    /** Publishes this instance's own record. */
    publishSelf(record: InstanceRecord): void {
        this.publish(instanceKey, record, false);
    }

    /**
     * Publishes a record; `undefined` removes it. An unchanged record is not sent again. With `pushed` false, meant
     * for records that change often, the record is sent by the periodic rounds only.
     */
    publish(key: string, value: unknown, zoneScoped: boolean, pushed = true): void {
        const text = value === undefined ? undefined : JSON.stringify(value);
        if (this.table.getRecord(this.options.instanceId, key) === text) {
            return;
        }
        this.table.write(key, text, zoneScoped);
        if (pushed) {
            this.schedulePush();
        }
    }

    /** All known members, this one included. */
    getMembers(): readonly Member[] {
        const now = this.options.clock.now();
        if (!this.memberList || now - this.memberList.at > memberListCacheMs) {
            const members = this.table.getMemberIds().flatMap(id => this.getMember(id) ?? []);
            this.memberList = { at: now, members };
        }
        return this.memberList.members;
    }

    getMember(id: string): Member | undefined {
        const record = this.getInstanceRecord(id);
        if (!record) {
            return undefined;
        }
        return {
            ...record,
            id,
            incarnation: this.table.getIncarnation(id),
            liveness: this.table.getLiveness(id, record.zone === this.options.zone ? 1 : otherZoneTimeoutFactor),
        };
    }

    /** Records with a key prefix, each with the member that published it and the age of that member's heartbeat. */
    getRecords(
        prefix: string,
    ): readonly { readonly value: string; readonly memberId: string; readonly heartbeatAge: number; }[] {
        return this.table.getMemberIds().flatMap(memberId => {
            const heartbeatAge = this.table.getHeartbeatAge(memberId);
            return this.table.getRecords(memberId, prefix).map(record => ({
                value: record.value,
                memberId,
                heartbeatAge,
            }));
        });
    }

    /** Merges a gossip message of another instance and returns the reply. */
    receive(request: GossipRequest): GossipReply {
        const acrossZones = request.zone !== this.options.zone;
        request.states.forEach(state => this.table.merge(state));
        const missing = request.digests.filter(digest => this.table.applyDigest(digest, acrossZones));
        const states = request.digests.flatMap(digest => this.table.getStateDelta(digest, acrossZones) ?? []);
        return create(GossipReplySchema, {
            states: [...states, ...this.getOmittedStates(request, acrossZones)],
            digests: missing.map(digest => this.table.getDigest(digest.instanceId)),
        });
    }

    /** States of alive members that the request omits; none when it has no digests, names all members or is full. */
    private getOmittedStates(request: GossipRequest, acrossZones: boolean): readonly MemberState[] {
        const known = this.table.getMemberIds();
        if (
            request.digests.length === 0 || request.digests.length >= Math.min(known.length, maximumDigestsPerMessage)
        ) {
            return [];
        }
        const named = new Set(request.digests.map(digest => digest.instanceId));
        return known.filter(id => !named.has(id)).flatMap(id => {
            const digest = { ...this.table.getDigest(id), version: 0n, zoneVersion: 0n };
            return this.table.getLiveness(id) === "alive" ? this.table.getStateDelta(digest, acrossZones) ?? [] : [];
        });
    }

    private async runRound(): Promise<void> {
        this.table.advanceHeartbeat();
        this.table.removeUnresponsive();
        this.round += 1;
        const digests = this.pickDigests();
        await Promise.all(this.pickTargets().map(target => this.exchange(target.address, target.zone, digests)));
    }

    /** Instances of the own zone in turn, a random one of another zone, and a seed when due or no other is known. */
    private pickTargets(): readonly GossipTarget[] {
        const { random, zone, instanceId, seeds } = this.options;
        const others = this.getMembers().filter(member => member.id !== instanceId && member.liveness !== "dead");
        const otherZoneMembers = others.filter(member => member.zone !== zone);
        const zoneMembers = others.filter(member => member.zone === zone);
        const targets: GossipTarget[] = [];
        for (let turn = 0; turn < Math.min(zoneTargetsPerRound, zoneMembers.length); turn++) {
            targets.push(toTarget(zoneMembers[this.nextZoneTarget++ % zoneMembers.length]!));
        }
        const chosen = this.round % otherZoneRoundInterval === 0 ? pickOne(random, otherZoneMembers) : undefined;
        if (chosen) {
            targets.push(toTarget(chosen));
        }
        const needsSeed = others.length === 0 || this.round % seedRoundInterval === 0;
        const seed = needsSeed ? pickOne(random, seeds) : undefined;
        if (seed && !targets.some(target => target.address === seed)) {
            targets.push({ address: seed, zone: others.find(other => other.peerAddress === seed)?.zone ?? "" });
        }
        return targets;
    }

    /** Members of the own zone first, then a random choice of the others. */
    private pickDigests(): readonly MemberDigest[] {
        const ids = [...this.table.getMemberIds()];
        const isInOwnZone = (id: string) => this.getInstanceRecord(id)?.zone === this.options.zone;
        const ranked = ids.map(id => ({ id, rank: (isInOwnZone(id) ? 0 : 1) + this.options.random.next() }));
        ranked.sort((left, right) => left.rank - right.rank);
        return ranked.slice(0, maximumDigestsPerMessage).map(item => this.table.getDigest(item.id));
    }

    private async exchange(address: Address, zone: string, digests: readonly MemberDigest[]): Promise<void> {
        const acrossZones = zone !== this.options.zone;
        try {
            const reply = await this.send(address, digests, []);
            if (this.stopped) {
                return;
            }
            reply.states.forEach(state => this.table.merge(state));
            const lacking = reply.digests.flatMap(digest => this.table.getStateDelta(digest, acrossZones) ?? []);
            if (lacking.length > 0) {
                await this.send(address, [], lacking);
            }
        }
        catch (error) {
            this.options.logger.debug("gossip failed", { address, reason: getErrorMessage(error) });
        }
    }

    private send(
        address: Address,
        digests: readonly MemberDigest[],
        states: readonly MemberState[],
    ): Promise<GossipReply> {
        const request = create(GossipRequestSchema, {
            from: this.options.instanceId,
            zone: this.options.zone,
            digests: [...digests],
            states: [...states],
        });
        return this.options.send(address, request, gossipTimeoutMs);
    }

    /** Schedules a push of own changes to every instance of the zone; several changes in a row share one push. */
    private schedulePush(): void {
        if (this.isPushScheduled || this.stopped) {
            return;
        }
        this.isPushScheduled = true;
        this.options.timers.after(0, () => {
            this.isPushScheduled = false;
            this.pushToZone();
        });
    }

    private pushToZone(): void {
        const { instanceId, zone } = this.options;
        const digest = this.table.getDigest(instanceId);
        for (const member of this.getMembers()) {
            if (member.id !== instanceId && member.zone === zone && member.liveness !== "dead") {
                void this.exchange(toAddress(member.peerAddress), zone, [digest]);
            }
        }
    }

    private getInstanceRecord(id: string): InstanceRecord | undefined {
        const text = this.table.getRecord(id, instanceKey);
        if (text === undefined) {
            return undefined;
        }
        const cached = this.parsed.get(id);
        if (cached?.text === text) {
            return cached.record;
        }
        const result = instanceRecordSchema.safeParse(safeParseJson(text));
        if (!result.success) {
            return undefined;
        }
        this.parsed.set(id, { text, record: result.data });
        return result.data;
    }

    private emitChange(memberId: string, records: readonly MemberRecord[]): void {
        this.memberList = undefined;
        void this.events.emit("changed", { memberId, keys: records.map(record => record.key) });
    }
}

const toTarget = (member: Member): GossipTarget => ({ address: toAddress(member.peerAddress), zone: member.zone });
