/** A count together with its exponential moving average over time. */

import type { Clock, Milliseconds } from "@anvilmux/common";

export class SmoothedCount {
    private value = 0;
    private smoothed = 0;
    private smoothedAt: Milliseconds;

    constructor(private readonly clock: Clock, private readonly timeConstant: Milliseconds) {
        this.smoothedAt = clock.now();
    }

    add(change: number): void {
        this.update();
        this.value += change;
    }

    get current(): number {
        return this.value;
    }

    get average(): number {
        this.update();
        return this.smoothed;
    }

    private update(): void {
        const now = this.clock.now();
        const weight = 1 - Math.exp(-(now - this.smoothedAt) / this.timeConstant);
        this.smoothedAt = now;
        this.smoothed += weight * (this.value - this.smoothed);
    }
}
