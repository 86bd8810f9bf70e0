/** Slot requests, grants and what the scheduler's functions see. */

import type { Address, GrantId, Milliseconds } from "@anvilmux/common";

/** How an exchange with an upstream ended, as far as the slot is concerned. */
export type SlotOutcomeName = "answered" | "failed" | "not-started" | "unused";

/** A request for one slot of a service. Times are on the scheduler's monotonic clock. */
export interface WaitingRequest {
    readonly id: string;
    /** Entry instance that will dispatch. */
    readonly entryId: string;
    readonly kind: string;
    readonly team: string;
    readonly urgent: boolean;
    readonly enqueuedAt: Milliseconds;
    readonly deadline: Milliseconds;
    readonly expectedRun: Milliseconds;
    /** Run time that nearly all requests of the kind stay below. */
    readonly plannedRun: Milliseconds;
    /** True when learned run times say that the kind runs long. */
    readonly long: boolean;
    readonly excludedUpstreams: readonly string[];
    /** From another zone: served at once or refused. */
    readonly forwarded: boolean;
    /** May be told to try another zone instead of waiting here. */
    readonly maySpill: boolean;
}

export type RefusalReason =
    | "no-upstream"
    | "deadline-out-of-reach"
    | "deadline-passed"
    | "queue-full"
    | "steward-unreachable"
    | "try-elsewhere"
    | "shutting-down"
    | "caller-left";

export interface SlotRefused {
    readonly granted: false;
    readonly reason: RefusalReason;
    readonly retryAfter: Milliseconds;
}

export interface SlotGranted {
    readonly granted: true;
    readonly grantId: GrantId;
    readonly upstreamId: string;
    readonly address: Address;
    readonly queued: Milliseconds;
}

export type SlotDecision = SlotGranted | SlotRefused;

/** A service's upstream as the scheduler sees it. */
export interface UpstreamView {
    readonly id: string;
    readonly address: Address;
    readonly slots: number;
    /** Connections each entry may open. */
    readonly connectionsPerEntry: number;
    readonly inUse: number;
}

/** Chooses among upstreams that have a free slot. */
export type ChooseUpstream = (candidates: readonly UpstreamView[]) => UpstreamView | undefined;

export interface AdmissionView {
    readonly now: Milliseconds;
    readonly totalSlots: number;
    readonly freeSlots: number;
    /** Expected run time of the waiting requests that would be served before this one, in slot milliseconds. */
    readonly workAhead: Milliseconds;
    /** Slots held, on average, by work that goes before this request even when it comes later. */
    readonly overtakingSlots: number;
    readonly waiting: number;
}

/** Undefined admits; a reason refuses at once. */
export type Admit = (request: WaitingRequest, view: AdmissionView) => RefusalReason | undefined;

/** Smaller keys are served first within a class. */
export type GetOrderKey = (request: WaitingRequest) => number;

/** Takes the decision on one request. */
export type DecisionListener = (decision: SlotDecision) => void;

/** A slot that is in use. */
export interface HeldSlot {
    readonly upstreamId: string;
    readonly entryId: string;
    readonly kind: string;
    readonly team: string;
    readonly urgent: boolean;
    /** Urgent work of a kind that does not run long. */
    readonly short: boolean;
}

/** What the scheduler is told about an announced upstream. */
export interface UpstreamSlots {
    readonly id: string;
    readonly address: Address;
    readonly slots: number;
    readonly connectionsPerEntry: number;
}
