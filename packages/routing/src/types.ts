/** Slot requests, slot decisions, and the inputs of the scheduling policies. */

import type { Address, GrantId, Milliseconds } from "@anvilmux/common";

/** Outcome of an upstream request, as reported when its slot is released. */
export type SlotOutcomeName = "answered" | "failed" | "not-started" | "unused";

/** A request for one slot of a service. Times are on the scheduler's monotonic clock. */
export interface WaitingRequest {
    readonly id: string;
    /** Entry instance that dispatches the request. */
    readonly entryId: string;
    readonly kind: string;
    readonly team: string;
    readonly urgent: boolean;
    readonly enqueuedAt: Milliseconds;
    readonly deadline: Milliseconds;
    readonly expectedRun: Milliseconds;
    /** High percentile of the kind's run time; the deadline must leave at least this much time for the run. */
    readonly plannedRun: Milliseconds;
    /** True when the kind is long according to `RunTimes`. */
    readonly long: boolean;
    readonly excludedUpstreams: readonly string[];
    /** Forwarded from another zone: granted at once or refused. */
    readonly forwarded: boolean;
    /** May spill: be refused with `try-elsewhere`, so that the entry tries another zone instead of queueing here. */
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

/** State of a service's upstream in the scheduler. */
export interface UpstreamView {
    readonly id: string;
    readonly address: Address;
    readonly slots: number;
    /** Connections that each entry may open. */
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
    /** Slots held by work that takes precedence over this request even when it arrives later. */
    readonly overtakingSlots: number;
    readonly waiting: number;
}

/** Returns undefined to admit the request, or the reason to refuse it at once. */
export type Admit = (request: WaitingRequest, view: AdmissionView) => RefusalReason | undefined;

/** Smaller keys are served first within a class. */
export type GetOrderKey = (request: WaitingRequest) => number;

/** Receives the decision on one request. */
export type DecisionListener = (decision: SlotDecision) => void;

/** A slot that is in use. */
export interface HeldSlot {
    readonly upstreamId: string;
    readonly entryId: string;
    readonly kind: string;
    readonly team: string;
    readonly urgent: boolean;
    /** True for urgent work of a kind that is not long. */
    readonly short: boolean;
}

/** An announced upstream as passed to the scheduler. */
export interface UpstreamSlots {
    readonly id: string;
    readonly address: Address;
    readonly slots: number;
    readonly connectionsPerEntry: number;
}
