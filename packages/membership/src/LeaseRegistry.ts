/**
 * Announcements of upstreams or workers as leases. The entry that receives an announcement publishes it and holds its
 * lease. The other entries of the zone use it until it is removed or that entry's heartbeat is older than the lease.
 * A leave is kept as a tombstone with its incarnation, so that an update that arrives late cannot undo it.
 */

import { safeParseJson } from "@anvilmux/common";
import type { Clock, Milliseconds, Timers, Unsubscribe } from "@anvilmux/common";
import { tombstoneRetentionMs } from "./constants";
import type { Membership } from "./Membership";

/** The fields that every announcement has. */
export interface Announced {
    readonly id: string;
    readonly incarnation: number;
    readonly leaseMs: Milliseconds;
}

interface HeldLease<Announcement> {
    readonly announcement: Announcement;
    readonly left: boolean;
    renewedAt: Milliseconds;
}

interface Published<Announcement> {
    readonly announcement: Announcement;
    readonly left: boolean;
}

export interface LeaseRegistryOptions<Announcement extends Announced> {
    /** Record key prefix, such as `upstream/`. */
    readonly prefix: string;
    readonly membership: Membership;
    readonly clock: Clock;
    readonly timers: Timers;
    readonly parse: (value: unknown) => Announcement | undefined;
}

const expiryCheckPeriodMs = 100;

export class LeaseRegistry<Announcement extends Announced> {
    private readonly heldLeases = new Map<string, HeldLease<Announcement>>();
    private cache: readonly Announcement[] | undefined;
    private cachedAt: Milliseconds = -Infinity;
    private readonly unsubscribes: Unsubscribe[] = [];

    constructor(private readonly options: LeaseRegistryOptions<Announcement>) {}

    start(): void {
        const { timers, membership, prefix } = this.options;
        this.unsubscribes.push(
            timers.every(expiryCheckPeriodMs, () => this.expireLeases()),
            membership.events.on("changed", change => {
                if (change.keys.some(key => key.startsWith(prefix) || key === "instance")) {
                    this.cache = undefined;
                }
            }),
        );
    }

    stop(): void {
        this.unsubscribes.forEach(unsubscribe => unsubscribe());
    }

    /** Acquires or renews a lease. False when a later incarnation or a leave of this one is known. */
    announce(announcement: Announcement): boolean {
        const latest = this.getNewest().get(announcement.id);
        if (latest && isNewer(latest, { announcement, left: false })) {
            return false;
        }
        const held = this.heldLeases.get(announcement.id);
        const now = this.options.clock.now();
        if (held && !held.left && isSameAnnouncement(held.announcement, announcement)) {
            held.renewedAt = now;
            return true;
        }
        this.publishLease(announcement, false);
        return true;
    }

    /** Ends the lease of this incarnation permanently. */
    leave(announcement: Announcement): void {
        this.publishLease(announcement, true);
    }

    /** Every announcement with a valid lease, each id once. */
    getLive(): readonly Announcement[] {
        const now = this.options.clock.now();
        if (this.cache && now - this.cachedAt < expiryCheckPeriodMs) {
            return this.cache;
        }
        const live = [...this.getNewest().values()].filter(item => !item.left).map(item => item.announcement);
        this.cache = live;
        this.cachedAt = now;
        return live;
    }

    private publishLease(announcement: Announcement, left: boolean): void {
        this.heldLeases.set(announcement.id, { announcement, left, renewedAt: this.options.clock.now() });
        const published: Published<Announcement> = { announcement, left };
        this.options.membership.publish(this.options.prefix + announcement.id, published, true);
        this.cache = undefined;
    }

    /** The newest announcement or leave of each id; skips announcements whose publisher's heartbeat is too old. */
    private getNewest(): ReadonlyMap<string, Published<Announcement>> {
        const latest = new Map<string, Published<Announcement>>();
        for (const record of this.options.membership.getRecords(this.options.prefix)) {
            const published = this.parsePublished(record.value);
            if (!published || (!published.left && record.heartbeatAge > published.announcement.leaseMs)) {
                continue;
            }
            const existing = latest.get(published.announcement.id);
            if (!existing || isNewer(published, existing)) {
                latest.set(published.announcement.id, published);
            }
        }
        return latest;
    }

    private parsePublished(text: string): Published<Announcement> | undefined {
        const value = safeParseJson(text) as { readonly announcement?: unknown; readonly left?: unknown; } | undefined;
        const announcement = this.options.parse(value?.announcement);
        return announcement && { announcement, left: value?.left === true };
    }

    private expireLeases(): void {
        const now = this.options.clock.now();
        for (const [id, held] of this.heldLeases) {
            const age = now - held.renewedAt;
            if (age > (held.left ? tombstoneRetentionMs : held.announcement.leaseMs)) {
                this.heldLeases.delete(id);
                this.options.membership.publish(this.options.prefix + id, undefined, true);
                this.cache = undefined;
            }
        }
    }
}

/** True when `left` supersedes `right`: a later incarnation, or the leave of the same one. */
const isNewer = <Announcement extends Announced>(
    left: Published<Announcement>,
    right: Published<Announcement>,
): boolean => {
    if (left.announcement.incarnation !== right.announcement.incarnation) {
        return left.announcement.incarnation > right.announcement.incarnation;
    }
    return left.left && !right.left;
};

const isSameAnnouncement = (left: Announced, right: Announced): boolean =>
    JSON.stringify(left) === JSON.stringify(right);
