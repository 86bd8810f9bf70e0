/** Arguments and messages of the processes that the dispatch bench starts. */

import type { Address, Milliseconds } from "@anvilmux/common";
import type { StandInCounts } from "@anvilmux/platform";

/** Processors of a stand-in worker; two tasks of the mix run at once. */
export const workerMillicores = 16_000;
export const workerService = "rider-desk";

export interface OwnerArguments {
    /** Addresses of the zone's workers, by id. */
    readonly workers: readonly (readonly [id: string, address: Address])[];
    /** Addresses of the other entries, which make calls to workers for the owner. */
    readonly relays: readonly Address[];
}

export interface RelaysArguments {
    readonly count: number;
}

export interface WorkersArguments {
    readonly count: number;
}

/** What the owner's process used and did from `begin` to `end`. */
export interface OwnerCost {
    readonly elapsedMs: Milliseconds;
    readonly processorMs: Milliseconds;
    readonly starts: number;
    readonly watches: number;
    /** Time spent on the choice of a worker. */
    readonly choiceMs: Milliseconds;
    /** Event loop delay beyond its sampling period. */
    readonly loopDelayMedianMs: Milliseconds;
    readonly loopDelayP99Ms: Milliseconds;
}

export type ToProcess =
    /** From now on the process may use `share` of a core. */
    | { readonly type: "limit"; readonly share: number; }
    | { readonly type: "begin"; }
    | { readonly type: "end"; };

export type FromOwner =
    | { readonly type: "listening"; readonly address: Address; }
    | { readonly type: "cost"; readonly cost: OwnerCost; };

export type FromWorkers =
    | { readonly type: "listening"; readonly addresses: readonly (readonly [id: string, address: Address])[]; }
    | { readonly type: "counts"; readonly counts: StandInCounts; readonly loopDelayP99Ms: Milliseconds; };

export interface FromRelays {
    readonly type: "listening";
    readonly addresses: readonly Address[];
}
