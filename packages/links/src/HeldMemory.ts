/** Memory of one kind that a peer makes this process hold, such as an incomplete line, and what is charged of it. */

import type { ChannelGuard } from "./ChannelGuard";
import { freeCharacters } from "./constants";

export class HeldMemory {
    private charged = 0;

    constructor(private readonly guard: ChannelGuard) {}

    /** Charges `bytes` in place of what was held before; false when the memory does not suffice, and nothing changes. */
    set(bytes: number): boolean {
        const charged = Math.max(0, bytes - (this.guard.isIdentified() ? freeCharacters : 0));
        const growth = charged - this.charged;
        if (growth > 0 && !this.guard.charge(growth)) {
            return false;
        }
        this.guard.release(Math.max(0, -growth));
        this.charged = charged;
        return true;
    }
}
