/** Assigns each worker of an owner to a relay, so that all relays have about the same number of workers. */

import type { WorkerId } from "./types";

/** A relay with more workers than this many times the mean, and one more, gives some up. */
const tolerableLoad = 1.25;

export class RelayAssignment {
    private readonly relayOf = new Map<WorkerId, string>();
    private readonly counts = new Map<string, number>();
    /** The relay through which a worker did not answer last. */
    private readonly rejected = new Map<WorkerId, string>();

    /** The relay of a worker among `relays`; it changes only when it is not among them or has too many workers. */
    choose(worker: WorkerId, relays: readonly string[]): string | undefined {
        const present = this.relayOf.get(worker);
        if (present !== undefined && relays.includes(present) && !this.isOverloaded(present, relays)) {
            return present;
        }
        this.unassign(worker);
        const chosen = this.findLeastLoaded(relays, this.rejected.get(worker));
        if (chosen !== undefined) {
            this.relayOf.set(worker, chosen);
            this.counts.set(chosen, this.getCount(chosen) + 1);
        }
        return chosen;
    }

    /** Gives the worker another relay next time, as it did not answer through this one. */
    reject(worker: WorkerId): void {
        const relay = this.relayOf.get(worker);
        if (relay !== undefined) {
            this.rejected.set(worker, relay);
            this.unassign(worker);
        }
    }

    remove(worker: WorkerId): void {
        this.rejected.delete(worker);
        this.unassign(worker);
    }

    private unassign(worker: WorkerId): void {
        const relay = this.relayOf.get(worker);
        if (relay !== undefined) {
            this.relayOf.delete(worker);
            this.counts.set(relay, this.getCount(relay) - 1);
        }
    }

    private getCount(relay: string): number {
        return this.counts.get(relay) ?? 0;
    }

    private isOverloaded(relay: string, relays: readonly string[]): boolean {
        return this.getCount(relay) > tolerableLoad * this.relayOf.size / relays.length + 1;
    }

    /** The relay with the fewest workers; `avoided` only when there is no other. */
    private findLeastLoaded(relays: readonly string[], avoided: string | undefined): string | undefined {
        let best: string | undefined;
        for (const relay of relays) {
            const isBetter = best === undefined || this.getCount(relay) < this.getCount(best);
            if (isBetter && relay !== avoided) {
                best = relay;
            }
        }
        return best ?? relays[0];
    }
}
