/** Virtual time of a process that stalls. */

import { VirtualTime } from "@anvilmux/common";

/** A clock that can jump while no timer fires, as when the process stalls. */
export class StallingTime extends VirtualTime {
    private stalled = 0;

    override now(): number {
        return super.now() + this.stalled;
    }

    stall(length: number): void {
        this.stalled += length;
    }
}
