/** What the owner of a zone's workers and the other entries of the zone tell each other of the workers that they know. */

import type { Milliseconds } from "@anvilmux/common";
import type { WorkerAnnouncement } from "@anvilmux/dispatch";

/** What an entry knows of the workers on which earlier owners may have started runs. */
export interface WorkerKnowledge {
    /** The latest owner of which the entry knows all workers, by its claim; 0 when there is none. */
    readonly coveredClaim: number;
    /** Time for which runs may go on at workers that the entry does not know, if nobody started any since that owner. */
    readonly unknownForMs: Milliseconds;
    /** The highest claim that the entry has seen, but for that of the receiver; 0 when there was none. */
    readonly highestClaim: number;
}

/** Workers that an owner uses, or is about to use. */
export interface WorkersNotice {
    readonly claim: number;
    /** Number of the latest worker that this notice or an earlier one names. */
    readonly revision: number;
    readonly workers: readonly WorkerAnnouncement[];
    /** True when the owner uses no further worker before the receiver has acknowledged it. */
    readonly isCovering: boolean;
    /** Time for which runs of earlier owners may go on at workers that the owner does not know. */
    readonly unknownForMs: Milliseconds;
}

/** The receiver of a notice knows the workers up to `revision`. */
export interface WorkersAcknowledgement extends WorkerKnowledge {
    readonly claim: number;
    readonly revision: number;
    /** False when the receiver has not had a covering notice of this owner yet; the owner then sends one. */
    readonly isCovered: boolean;
    /** Workers that the receiver knows and the notice did not name. */
    readonly workers: readonly WorkerAnnouncement[];
}
