/** What the reading of a body needs from the process that it takes place in. */

import type { MemoryRefusal } from "./MemoryBudget";
import type { RefusalCause } from "./Refusals";

/** Where the memory of a body is charged, and where it is admitted beside others. */
export interface BodyHost {
    readonly charge: (bytes: number) => MemoryRefusal | undefined;
    readonly release: (bytes: number) => void;
    /** False when too many bodies in very small chunks are read already. Each costs far more time than its bytes do. */
    readonly admitFragmented: () => boolean;
    /** Called for each number of very small chunks; the rest of them is read in a later turn of the event loop. */
    readonly countFragments: (chunks: number) => void;
    /** Called when a body begins; the result is called when it ends. */
    readonly begin: (body: OpenBody) => () => void;
    /** Called when a body is refused, so that its connection is closed after the response. */
    readonly refuse: (cause: RefusalCause) => void;
}

/** A body that is being read. */
export interface OpenBody {
    readonly heldBytes: number;
    /** Refuses the body in favour of others, and releases its memory. */
    readonly stop: (cause: MemoryRefusal) => void;
}
