/** Assigns each worker of an owner to a relay, so that the numbers of workers follow the weights of the relays. */

import { getRelayWeights } from "./relayWeights";
import type { RelayWeights } from "./relayWeights";
import type { WorkerId } from "./types";

/** A relay with more workers than this many times its part, and one more, gives some up. */
const tolerableLoad = 1.25;

export class RelayAssignment {
    private readonly relayOf = new Map<WorkerId, string>();
    private readonly counts = new Map<string, number>();
    /** The relay through which a worker did not answer last. */
    private readonly rejected = new Map<WorkerId, string>();

    /** The relay of a worker among `relays`; it changes only when it is not among them or has too many workers. */
    choose(
        worker: WorkerId,
        relays: readonly string[],
        weights: RelayWeights = getRelayWeights(relays, () => undefined),
    ): string | undefined {
        const present = this.relayOf.get(worker);
        if (present !== undefined && relays.includes(present) && !this.isOverloaded(present, weights)) {
            return present;
        }
        this.unassign(worker);
        const chosen = this.findLeastLoaded(relays, weights, this.rejected.get(worker));
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

    private isOverloaded(relay: string, { byRelay, total }: RelayWeights): boolean {
        return this.getCount(relay) > tolerableLoad * this.relayOf.size * (byRelay.get(relay) ?? 1) / total + 1;
    }

    /** The relay that has the fewest workers for its weight with one more; `avoided` only when there is no other. */
    private findLeastLoaded(
        relays: readonly string[],
        { byRelay }: RelayWeights,
        avoided: string | undefined,
    ): string | undefined {
        let best: string | undefined;
        let leastLoad = Infinity;
        for (const relay of relays) {
            const load = (this.getCount(relay) + 1) / (byRelay.get(relay) ?? 1);
            if (load < leastLoad && relay !== avoided) {
                best = relay;
                leastLoad = load;
            }
        }
        return best ?? relays[0];
    }
}
