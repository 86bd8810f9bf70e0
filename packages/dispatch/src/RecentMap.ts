/** A map that drops entries some time after they were set, and the oldest ones when there are too many. */

import type { Clock, Milliseconds } from "@anvilmux/common";

interface RecentEntry<Value> {
    readonly value: Value;
    readonly setAt: Milliseconds;
}

export class RecentMap<Key, Value> {
    /** In the order in which they were set, so that the oldest are dropped first. */
    private readonly entries = new Map<Key, RecentEntry<Value>>();

    constructor(
        private readonly clock: Clock,
        private readonly retentionMs: Milliseconds,
        private readonly maximumSize: number,
    ) {}

    get(key: Key): Value | undefined {
        return this.entries.get(key)?.value;
    }

    getValues(): readonly Value[] {
        return [...this.entries.values()].map(({ value }) => value);
    }

    set(key: Key, value: Value): void {
        const now = this.clock.now();
        this.entries.delete(key);
        this.entries.set(key, { value, setAt: now });
        for (const [oldest, { setAt }] of this.entries) {
            if (now - setAt <= this.retentionMs && this.entries.size <= this.maximumSize) {
                return;
            }
            this.entries.delete(oldest);
        }
    }

    delete(key: Key): void {
        this.entries.delete(key);
    }
}
