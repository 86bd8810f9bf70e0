/** Manifest errors: each fault carries a JSON pointer to the offending field. */

import { AnvilmuxError } from "@anvilmux/common";

/** One fault in a submitted document. */
export interface ManifestFault {
    /** RFC 6901 pointer to the field. */
    readonly pointer: string;
    readonly reason: string;
}

export class ManifestError extends AnvilmuxError {
    readonly faults: readonly ManifestFault[];

    constructor(code: string, faults: readonly ManifestFault[], cause?: unknown) {
        super(code, faults.map(fault => `${fault.pointer || "/"}: ${fault.reason}`).join("; "), cause);
        this.faults = faults;
    }
}
