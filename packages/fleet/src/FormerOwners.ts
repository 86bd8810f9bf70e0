/** The owners that zones had before, and when each of them certainly had ended: kept by a control instance. */

import type { Clock, Milliseconds } from "@anvilmux/common";
import type { EntryMember, FormerOwner } from "./messages";

/** A claim as control heard of it. */
export interface HeardClaim {
    readonly claim: number;
    readonly heardAt: Milliseconds;
}

interface LostOwner {
    readonly member: EntryMember;
    readonly heard: HeardClaim;
    /** Undefined while its process may go on. */
    readonly endedAt: Milliseconds | undefined;
}

export class FormerOwners {
    /** The one with the highest claim, by zone. */
    private readonly lost = new Map<string, LostOwner>();

    constructor(private readonly clock: Clock) {}

    /** An entry claims the workers of its zone: what earlier owners did tells nothing of it. */
    recordClaim({ zone }: EntryMember, claim: number): void {
        if (claim >= (this.lost.get(zone)?.heard.claim ?? 0)) {
            this.lost.delete(zone);
        }
    }

    /** The owner gave its claim up, or its process ended, `endedForMs` ago at the latest. */
    recordEnd(member: EntryMember, heard: HeardClaim, endedForMs: Milliseconds = 0): void {
        if (heard.claim >= (this.lost.get(member.zone)?.heard.claim ?? 0)) {
            this.lost.set(member.zone, { member, heard, endedAt: this.clock.now() - endedForMs });
        }
    }

    /** The connection to the owner ended without a sign that its process did. */
    recordSilence(member: EntryMember, heard: HeardClaim): void {
        if (heard.claim > (this.lost.get(member.zone)?.heard.claim ?? 0)) {
            this.lost.set(member.zone, { member, heard, endedAt: undefined });
        }
    }

    /** An entry has connected whose process began `upForMs` ago: the one before it had ended by then. */
    recordStart(member: EntryMember, upForMs: Milliseconds): void {
        const former = this.lost.get(member.zone);
        const isReplaced = former?.member.id === member.id && former.member.incarnation < member.incarnation;
        if (former && isReplaced && former.endedAt === undefined) {
            this.recordEnd(former.member, former.heard, upForMs);
        }
    }

    getAll(): readonly FormerOwner[] {
        const now = this.clock.now();
        return [...this.lost].map(([zone, { heard, endedAt }]) => ({
            zone,
            claim: heard.claim,
            claimedForMs: now - heard.heardAt,
            ...endedAt === undefined ? {} : { endedForMs: now - endedAt },
        }));
    }
}
