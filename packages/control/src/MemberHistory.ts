/** What a leader remembers of the members of its group: when each was heard, and which it dropped. */

import type { Clock, Milliseconds } from "@anvilmux/common";
import type { MembershipChange } from "@anvilmux/protocol";

export class MemberHistory {
    private readonly heardAt = new Map<string, Milliseconds>();
    private readonly droppedAt = new Map<string, Milliseconds>();
    private leadingSince: Milliseconds;

    constructor(private readonly clock: Clock) {
        this.leadingSince = clock.now();
    }

    /** Forgets who was heard; called while another instance leads. */
    noteNotLeading(): void {
        this.heardAt.clear();
        this.leadingSince = this.clock.now();
    }

    noteHeard(memberId: string): void {
        this.heardAt.set(memberId, this.clock.now());
    }

    /** Takes note of a change that is about to be made. */
    noteChange(change: MembershipChange): void {
        if (change.addLearner) {
            // Its silence counts from now.
            this.noteHeard(change.addLearner.memberId);
        }
        if (change.remove !== "") {
            this.droppedAt.set(change.remove, this.clock.now());
        }
    }

    /** How long the leader has not heard a member; 0 while it does. */
    getSilence(memberId: string): Milliseconds {
        return this.clock.now() - (this.heardAt.get(memberId) ?? this.leadingSince);
    }

    /** Time since the leader dropped a member; infinite when it did not. */
    getDropAge(memberId: string): Milliseconds {
        return this.clock.now() - (this.droppedAt.get(memberId) ?? -Infinity);
    }
}
