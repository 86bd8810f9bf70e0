/** A bounded memory of what was decided for each request and job, behind `anvilmux explain`. */

import type { Clock, Milliseconds } from "@anvilmux/common";

/** One decision, in words an operator understands. */
export interface Decision {
    readonly at: Milliseconds;
    readonly text: string;
}

/** Requests and jobs remembered; about a kilobyte each. */
const defaultCapacity = 5_000;

export class DecisionLog {
    private readonly decisions = new Map<string, Decision[]>();

    constructor(private readonly clock: Clock, private readonly capacity = defaultCapacity) {}

    /** Adds a decision; the oldest id is forgotten when the memory is full. */
    add(id: string, text: string): void {
        const list = this.decisions.get(id);
        const decision = { at: this.clock.now(), text };
        if (list) {
            list.push(decision);
            return;
        }
        if (this.decisions.size >= this.capacity) {
            const oldest = this.decisions.keys().next().value;
            if (oldest !== undefined) {
                this.decisions.delete(oldest);
            }
        }
        this.decisions.set(id, [decision]);
    }

    /** Sentences for one id, each with the time since the first; empty for an unknown id. */
    explain(id: string): readonly string[] {
        const list = this.decisions.get(id) ?? [];
        return list.map(decision => `+${(decision.at - list[0]!.at).toFixed(1)} ms  ${decision.text}`);
    }
}
