/** Parts of a play: a deployment of real processes, the faults that it meets, and what was broken. */

import type { Milliseconds } from "@anvilmux/common";

export interface Program {
    readonly name: string;
    readonly role: "entry" | "control";
    readonly zone: string;
}

/** Where bytes between two parties are held back: in both directions, or only towards one of them. */
export type Direction = "both" | "forward" | "backward";

/** A fault of the network between groups of programs, or between callers and an entry. */
export type NetworkFault =
    | { readonly kind: "hold"; readonly direction: Direction; }
    | { readonly kind: "delay"; readonly delayMs: Milliseconds; }
    /** Connections that are open now stay silent until they are closed; new ones work. */
    | { readonly kind: "silence"; }
    | { readonly kind: "reset"; };

export type FaultAction =
    /** The process stands still. */
    | { readonly kind: "pause"; readonly program: string; }
    /** The process is killed, and started again at the end of the fault. */
    | { readonly kind: "kill"; readonly program: string; }
    /** The process is asked to stop, killed after the grace period, and started again. */
    | { readonly kind: "stop"; readonly program: string; }
    /** Between the programs of the group and all others. */
    | { readonly kind: "network"; readonly group: readonly string[]; readonly fault: NetworkFault; }
    /** Between an entry and its callers. */
    | { readonly kind: "callers"; readonly program: string; readonly fault: NetworkFault; }
    /** Orders to workers of the zone are left unanswered and carried out late. */
    | { readonly kind: "late-orders"; readonly zone: string; readonly share: number; readonly delayMs: Milliseconds; }
    /** Workers are out of reach; calls that were held are carried out in the end. */
    | { readonly kind: "hold-workers"; readonly workers: readonly number[]; }
    /** A worker crashes; another one takes its place at the end of the fault. */
    | { readonly kind: "crash-worker"; readonly worker: number; }
    /** The operator drains a zone, and restores it at the end of the fault. */
    | { readonly kind: "drain"; readonly zone: string; };

export interface PlannedFault {
    /** Time since the faults began. */
    readonly atMs: Milliseconds;
    readonly lastsMs: Milliseconds;
    readonly action: FaultAction;
}

export interface Plan {
    readonly faults: readonly PlannedFault[];
    /** The control instance that loses its disk while all others are killed, at the end; undefined: none does. */
    readonly lostDisk: string | undefined;
}

/** A promise that was broken. */
export interface Violation {
    readonly promise: string;
    readonly detail: string;
    /** Time since the play began. */
    readonly atMs: Milliseconds;
}
