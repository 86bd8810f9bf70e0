/** In-memory log of the decisions for each request and job, of bounded size; `anvilmux explain` reads it. */

import type { Clock, Milliseconds } from "@anvilmux/common";

/** One decision, as a sentence for the operator. */
export interface Decision {
    readonly at: Milliseconds;
    readonly text: string;
}

/** Number of requests and jobs kept; each takes about a kilobyte. */
const defaultCapacity = 5_000;

export class DecisionLog {
    private readonly decisions = new Map<string, Decision[]>();

    constructor(private readonly clock: Clock, private readonly capacity = defaultCapacity) {}

    /** Adds a decision; when the log is full, a new id evicts the oldest id. */
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

    /** The decisions for one id, each with the time since the first; empty for an unknown id. */
    explain(id: string): readonly string[] {
        const list = this.decisions.get(id) ?? [];
        return list.map(decision => `+${(decision.at - list[0]!.at).toFixed(1)} ms  ${decision.text}`);
    }
}
