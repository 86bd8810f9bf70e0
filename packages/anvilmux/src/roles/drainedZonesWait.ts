/**
 * Whether an entry that may begin to own workers first waits for the list of drained zones, without which it would
 * start tasks in a drained zone. A control instance sends the list before everything else, so this concerns an entry
 * that has its configuration from a control instance of an earlier release while another one is about to answer, and
 * one that starts together with the control group, whose instances know the configuration before they know that their
 * list is up to date.
 */

import type { Milliseconds } from "@anvilmux/common";

export interface DrainedZonesWait {
    readonly isListKnown: boolean;
    /** Time since the first configuration; undefined without one. */
    readonly configuredForMs: Milliseconds | undefined;
    /** A control instance was heard a moment ago. */
    readonly isControlHeard: boolean;
    /** Every connected control instance has sent the members of the zone, and before these the list if it has one. */
    readonly areMembersReported: boolean;
    /** A connected control instance has said that it will send the list. */
    readonly isListPending: boolean;
}

/** Longest wait; an entry that is cut off from control and from the others claims after as long. */
export const drainedZonesTimeoutMs = 1_500;

export const mustAwaitDrainedZones = (
    { isListKnown, configuredForMs, isControlHeard, areMembersReported, isListPending }: DrainedZonesWait,
): boolean =>
    !isListKnown && isControlHeard && (!areMembersReported || isListPending)
    && (configuredForMs ?? 0) < drainedZonesTimeoutMs;
