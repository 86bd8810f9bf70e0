/**
 * Announcements of upstreams or workers as leases. The entry that receives an announcement vouches for it; the
 * other entries of the zone trust that entry while it is alive, and for one lease after it fell silent.
 * A leave is remembered with its incarnation, so that news that arrives late cannot undo it.
 */

import { safeParseJson } from "@anvilmux/common";
import type { Clock, Milliseconds, Timers, Unsubscribe } from "@anvilmux/common";
import { tombstoneRetentionMs } from "./constants";
import type { Membership } from "./Membership";

/** The fields every announcement has. */
export interface Announced {
    readonly id: string;
    readonly incarnation: number;
    readonly leaseMs: Milliseconds;
}

interface Held<Announcement> {
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
    private readonly held = new Map<string, Held<Announcement>>();
    private cache: readonly Announcement[] | undefined;
    private cachedAt: Milliseconds = -Infinity;
    private readonly unsubscribes: Unsubscribe[] = [];

    constructor(private readonly options: LeaseRegistryOptions<Announcement>) {}

    start(): void {
        const { timers, membership, prefix } = this.options;
        this.unsubscribes.push(
            timers.every(expiryCheckPeriodMs, () => this.expire()),
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

    /** Takes or renews a lease. False when a later incarnation or a leave of this one is known. */
    announce(announcement: Announcement): boolean {
        const latest = this.getLatest().get(announcement.id);
        if (latest && isNewer(latest, { announcement, left: false })) {
            return false;
        }
        const held = this.held.get(announcement.id);
        const now = this.options.clock.now();
        if (held && !held.left && isSameAnnouncement(held.announcement, announcement)) {
            held.renewedAt = now;
            return true;
        }
        this.hold(announcement, false);
        return true;
    }

    /** Ends the lease of this incarnation for good. */
    leave(announcement: Announcement): void {
        this.hold(announcement, true);
    }

    /** Every announcement in force, each id once. */
    getLive(): readonly Announcement[] {
        const now = this.options.clock.now();
        if (this.cache && now - this.cachedAt < expiryCheckPeriodMs) {
            return this.cache;
        }
        const live = [...this.getLatest().values()].filter(item => !item.left).map(item => item.announcement);
        this.cache = live;
        this.cachedAt = now;
        return live;
    }

    private hold(announcement: Announcement, left: boolean): void {
        this.held.set(announcement.id, { announcement, left, renewedAt: this.options.clock.now() });
        const published: Published<Announcement> = { announcement, left };
        this.options.membership.publish(this.options.prefix + announcement.id, published, true);
        this.cache = undefined;
    }

    /** The newest word on each id, among members not silent for longer than the lease. */
    private getLatest(): ReadonlyMap<string, Published<Announcement>> {
        const latest = new Map<string, Published<Announcement>>();
        for (const record of this.options.membership.getRecords(this.options.prefix)) {
            const published = this.parsePublished(record.value);
            if (!published || (!published.left && record.silence > published.announcement.leaseMs)) {
                continue;
            }
            const present = latest.get(published.announcement.id);
            if (!present || isNewer(published, present)) {
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

    private expire(): void {
        const now = this.options.clock.now();
        for (const [id, held] of this.held) {
            const age = now - held.renewedAt;
            if (age > (held.left ? tombstoneRetentionMs : held.announcement.leaseMs)) {
                this.held.delete(id);
                this.options.membership.publish(this.options.prefix + id, undefined, true);
                this.cache = undefined;
            }
        }
    }
}

/** True when `left` is later news than `right`: a later incarnation, or the leave of the same one. */
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
