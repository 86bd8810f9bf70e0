/** Converts between the scheduler's types and the messages on the wire. */

import { toAddress, toGrantId } from "@anvilmux/common";
import type { Milliseconds } from "@anvilmux/common";
import type { HeldGrant, SlotGrant, SlotRefusal, SlotRequest } from "@anvilmux/protocol";
import { SlotGrantSchema, SlotOutcome, SlotRefusalSchema } from "@anvilmux/protocol";
import { create } from "@bufbuild/protobuf";
import type { HeldSlot, RefusalReason, SlotDecision, SlotOutcomeName, SlotRefused } from "./types";

const outcomeCodes: Readonly<Record<SlotOutcomeName, SlotOutcome>> = {
    "answered": SlotOutcome.ANSWERED,
    "failed": SlotOutcome.FAILED,
    "not-started": SlotOutcome.NOT_STARTED,
    "unused": SlotOutcome.UNUSED,
};

export const toOutcomeCode = (name: SlotOutcomeName): SlotOutcome => outcomeCodes[name];

export const toOutcomeName = (code: SlotOutcome): SlotOutcomeName => {
    switch (code) {
        case SlotOutcome.ANSWERED:
            return "answered";
        case SlotOutcome.NOT_STARTED:
            return "not-started";
        case SlotOutcome.UNUSED:
            return "unused";
        default:
            return "failed";
    }
};

/** An entry's request for a slot, to which the scheduler's side adds its own timestamps and learned run times. */
export interface AcquireRequest {
    readonly requestId: string;
    readonly kind: string;
    readonly team: string;
    readonly urgent: boolean;
    readonly remaining: Milliseconds;
    readonly excludedUpstreams: readonly string[];
    readonly forwarded: boolean;
    readonly maySpill: boolean;
}

export const toAcquireRequest = (message: SlotRequest): AcquireRequest => ({
    requestId: message.requestId,
    kind: message.workKind,
    team: message.team,
    urgent: message.urgent,
    remaining: message.remainingMs,
    excludedUpstreams: message.excludedUpstreams,
    forwarded: message.forwarded,
    maySpill: message.maySpill,
});

export const toGrantMessage = (sequence: bigint, decision: Extract<SlotDecision, { granted: true; }>): SlotGrant =>
    create(SlotGrantSchema, {
        sequence,
        grantId: decision.grantId,
        upstreamId: decision.upstreamId,
        address: decision.address,
        queuedMs: decision.queued,
    });

export const toRefusalMessage = (sequence: bigint, decision: SlotRefused): SlotRefusal =>
    create(SlotRefusalSchema, { sequence, reason: decision.reason, retryAfterMs: decision.retryAfter });

export const fromGrantMessage = (message: SlotGrant): SlotDecision => ({
    granted: true,
    grantId: toGrantId(message.grantId),
    upstreamId: message.upstreamId,
    address: toAddress(message.address),
    queued: message.queuedMs,
});

export const fromRefusalMessage = (message: SlotRefusal): SlotDecision => ({
    granted: false,
    reason: message.reason as RefusalReason,
    retryAfter: message.retryAfterMs,
});

/** Converts a grant that an entry reports to the slot that a scheduler tracks. */
export const toHeldSlot = (grant: HeldGrant, entryId: string, isLong: boolean): HeldSlot => ({
    upstreamId: grant.upstreamId,
    entryId,
    kind: grant.workKind,
    team: grant.team,
    urgent: grant.urgent,
    short: grant.urgent && !isLong,
});
