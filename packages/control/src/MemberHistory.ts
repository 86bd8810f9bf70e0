/** A leader's record of the time of the last contact with each member of its group. */

import type { Clock, Milliseconds } from "@anvilmux/common";
import type { MembershipChange } from "@anvilmux/protocol";

export class MemberHistory {
    private readonly lastContactAt = new Map<string, Milliseconds>();
    private leadingSince: Milliseconds;

    constructor(private readonly clock: Clock) {
        this.leadingSince = clock.now();
    }

    /** Discards the recorded contacts; called while this instance does not lead. */
    resetContacts(): void {
        this.lastContactAt.clear();
        this.leadingSince = this.clock.now();
    }

    recordContact(memberId: string): void {
        this.lastContactAt.set(memberId, this.clock.now());
    }

    /** Records a change that is about to be proposed. */
    recordChange(change: MembershipChange): void {
        if (change.addLearner) {
            // Counts the time without contact from now instead of from the start of the leadership.
            this.recordContact(change.addLearner.memberId);
        }
    }

    /** Time since the last contact with a member, or since the start of the leadership without one. */
    getTimeSinceContact(memberId: string): Milliseconds {
        return this.clock.now() - (this.lastContactAt.get(memberId) ?? this.leadingSince);
    }
}
