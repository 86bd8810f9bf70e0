/** Queries on membership that several services share: entries, stewards, worker owners and control instances. */

import { pickByRendezvous, safeParseJson, toAddress } from "@anvilmux/common";
import type { Address, Random } from "@anvilmux/common";
import type { AnnouncedReplica, ConfigurationPeer } from "@anvilmux/control";
import type { WorkerOwner } from "@anvilmux/jobs";
import type { LeaseRegistry, Member, Membership, WorkerAnnouncement } from "@anvilmux/membership";
import { loadRecordSchema } from "@anvilmux/membership";
import type { StewardAddress } from "@anvilmux/routing";
import * as z from "zod";

/** Key of the records in which control instances announce the replica of their data folder. */
export const replicaRecordKey = "replica";

/** Key of the records in which stewards report free slots. */
export const loadRecordKey = "load";

const replicaRecordSchema = z.object({ memberId: z.string(), address: z.string() });

export interface ZoneViewOptions {
    readonly instanceId: string;
    readonly zone: string;
    readonly membership: Membership;
    readonly workers: LeaseRegistry<WorkerAnnouncement>;
    readonly random: Random;
    readonly controlPeers: readonly Address[];
}

/** Free slots of a service in a zone. */
export interface ZoneFreeSlots {
    readonly zone: string;
    readonly free: number;
}

export class ZoneView {
    constructor(private readonly options: ZoneViewOptions) {}

    /** Live entries of a zone that accept work: the ready ones, or the leaving ones when none is ready. */
    getEntries(zone: string): readonly Member[] {
        const entries = this.options.membership.getMembers().filter(member =>
            member.zone === zone && member.entry && member.liveness === "alive"
        );
        const ready = entries.filter(member => member.state === "ready");
        return ready.length > 0 ? ready : entries.filter(member => member.state === "leaving");
    }

    countEntriesInAllZones(): number {
        return this.options.membership.getMembers().filter(member => member.entry && member.liveness !== "dead").length;
    }

    /** The steward of a service in a zone; undefined when the zone has no entry that accepts work. */
    getSteward(service: string, zone: string): StewardAddress | undefined {
        const entries = this.getEntries(zone);
        const chosen = pickByRendezvous(`${service}@${zone}`, entries.map(member => member.id));
        const member = entries.find(entry => entry.id === chosen);
        return member && { instanceId: member.id, address: toAddress(member.peerAddress) };
    }

    /** Free slots of a service in other zones, as their stewards last reported them. */
    getRemoteFreeSlots(service: string): readonly ZoneFreeSlots[] {
        return this.options.membership.getRecords(loadRecordKey).flatMap(record => {
            const member = this.options.membership.getMember(record.memberId);
            const free = loadRecordSchema.safeParse(safeParseJson(record.value)).data?.[service] ?? 0;
            const isUsable = member?.liveness === "alive" && member.zone !== this.options.zone && free > 0;
            return isUsable ? [{ zone: member.zone, free }] : [];
        });
    }

    /** The entries of this zone with the workers that each owns; one entry owns all workers of the zone. */
    getWorkerOwners(): readonly WorkerOwner[] {
        const entries = this.getEntries(this.options.zone);
        const ids = entries.map(entry => entry.id);
        const byOwner = new Map<string, WorkerAnnouncement[]>();
        for (const worker of this.options.workers.getLive()) {
            const owner = pickByRendezvous(`workers@${this.options.zone}`, ids);
            if (owner !== undefined) {
                byOwner.set(owner, [...byOwner.get(owner) ?? [], worker]);
            }
        }
        return entries.map(entry => ({
            instanceId: entry.id,
            address: toAddress(entry.peerAddress),
            workers: byOwner.get(entry.id) ?? [],
        }));
    }

    /** Live peers with the index of their active configuration. */
    getConfigurationPeers(): readonly ConfigurationPeer[] {
        return this.options.membership.getMembers()
            .filter(member => member.id !== this.options.instanceId && member.liveness === "alive")
            .map(member => ({
                address: toAddress(member.peerAddress),
                configurationIndex: member.configurationIndex,
            }));
    }

    /** Peer addresses of the live control instances and of those named in the settings. */
    getControlAddresses(): readonly Address[] {
        const known = this.options.membership.getMembers()
            .filter(member => member.control && member.liveness === "alive")
            .map(member => toAddress(member.peerAddress));
        return [...new Set([...known, ...this.options.controlPeers])];
    }

    /** Replicas that live control instances announce, by the member id of their data folder. */
    getAnnouncedReplicas(): readonly AnnouncedReplica[] {
        return this.options.membership.getRecords(replicaRecordKey).flatMap(record => {
            const parsed = replicaRecordSchema.safeParse(safeParseJson(record.value));
            const isAlive = this.options.membership.getMember(record.memberId)?.liveness === "alive";
            return parsed.success && isAlive
                ? [{ memberId: parsed.data.memberId, address: toAddress(parsed.data.address) }]
                : [];
        });
    }

    findMember(instanceId: string): Member | undefined {
        return this.options.membership.getMember(instanceId);
    }
}
