/** Arguments and messages of the processes that the bench `connected` starts. */

import type { Address, Milliseconds } from "@anvilmux/common";

export interface ConnectedControlArguments {
    /** Number of control instances. */
    readonly count: number;
}

export interface ConnectedEntriesArguments {
    /** Numbers of the entries of this process; the ids of a zone's entries are in the order of their numbers. */
    readonly first: number;
    readonly count: number;
    readonly control: readonly Address[];
}

/** What a process used since the message before. */
export interface ConnectedCost {
    readonly elapsedMs: Milliseconds;
    readonly processorMs: Milliseconds;
    readonly bytesWritten: number;
    readonly openConnections: number;
    readonly residentMebibytes: number;
}

export type ToConnected =
    /** Reports what was used since the last report. */
    | { readonly type: "report"; }
    /** Reports as soon as every entry of the process knows the same owner, another one than `formerOwner`. */
    | { readonly type: "await-owner"; readonly formerOwner: string | undefined; };

export type FromConnected =
    | { readonly type: "listening"; readonly addresses: readonly Address[]; }
    | { readonly type: "cost"; readonly cost: ConnectedCost; }
    /** `at` is wall time. */
    | { readonly type: "owner"; readonly owner: string; readonly at: number; };
