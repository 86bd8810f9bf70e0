/**
 * Whether this entry knows every worker on which earlier owners may have started runs, and until when runs may go on at
 * workers that it does not know. An owner covers it by naming its workers (see `WorkerSharing`); the cover lasts until the
 * end of their connection, and a little longer, so that this entry can take the owner's place.
 */

import { PauseDetector } from "@anvilmux/common";
import type { Clock, Milliseconds } from "@anvilmux/common";
import { leaseMarginMs, takeoverUncertaintyMs, workerClockDrift, workerLeaseMs } from "@anvilmux/dispatch";
import type { WorkerAnnouncement } from "@anvilmux/dispatch";
import type { FormerOwner } from "./messages";
import type { WorkerKnowledge, WorkersAcknowledgement, WorkersNotice } from "./workerNotices";

/** Time after the end of its connection to an owner in which an entry can take the owner's place as covered. */
export const coverRetentionMs = 500;
/** A longer pause of this process ends the cover, as the owner may have used further workers meanwhile. */
export const longestUnnoticedPauseMs = 1_500;

/** Longest time for which runs go on after the process of their owner has ended. */
const longestRunAfterEndMs = workerLeaseMs * (1 + workerClockDrift) + leaseMarginMs;

/** Time in which the connected entries tell a new owner of the owners that they have heard of. */
const firstAnswersMs = 150;

export interface WorkerCoverageOptions {
    readonly clock: Clock;
    /** All workers that this entry knows. */
    readonly getWorkers: () => readonly WorkerAnnouncement[];
}

interface Cover {
    /** Undefined for a claim of this entry itself. */
    readonly ownerId: string | undefined;
    readonly claim: number;
    endedAt: Milliseconds | undefined;
}

interface ReceivedNotice {
    readonly ownerId: string;
    readonly claim: number;
    readonly revision: number;
}

export class WorkerCoverage {
    private cover: Cover | undefined;
    /** Runs of owners before the one that covers this entry may go on at unknown workers until then. */
    private unknownUntil: Milliseconds = 0;
    private latest: ReceivedNotice | undefined;
    /** The highest claim that control reports as ended, and when its owner's runs and those of earlier owners are over. */
    private ended: { readonly claim: number; readonly runsUntil: Milliseconds; } | undefined;
    /** The highest claim that was made before this entry claimed, as far as is known. */
    private formerClaim = 0;
    /** The highest claim in this zone that control or another entry has reported. */
    private reportedClaim = 0;
    private isOwner = false;
    /** When this entry last claimed the workers. */
    private begunAt: Milliseconds = 0;
    private readonly startedAt: Milliseconds;
    private readonly pauses: PauseDetector;

    constructor(private readonly options: WorkerCoverageOptions) {
        this.startedAt = options.clock.now();
        this.pauses = new PauseDetector(options.clock, longestUnnoticedPauseMs);
    }

    /** Time for which runs of earlier owners may go on at workers that this entry, the owner, does not know. */
    getUnknownForMs(): Milliseconds {
        return Math.max(0, this.unknownUntil - this.options.clock.now());
    }

    /** Until when runs of earlier owners may go on at workers that this entry, the owner, does not know. */
    getUnknownUntil(): Milliseconds {
        return this.unknownUntil;
    }

    /**
     * This entry becomes the owner, or raises its claim. `formerClaim`: the highest earlier claim that it has seen; its
     * owner may have started runs until now.
     */
    begin(claim: number, formerClaim: number): void {
        this.endCoverAfterPause();
        const { coveredClaim, unknownForMs } = this.getKnowledge();
        this.formerClaim = this.reportedClaim < claim ? Math.max(formerClaim, this.reportedClaim) : formerClaim;
        const isCovered = coveredClaim > 0 && coveredClaim >= this.formerClaim;
        this.isOwner = true;
        this.begunAt = this.options.clock.now();
        this.unknownUntil = isCovered ? this.begunAt + unknownForMs : this.getUncoveredUntil();
        this.cover = { ownerId: undefined, claim, endedAt: undefined };
        this.applyEnd();
    }

    /** Control, or another entry, reports a claim in this zone. */
    handleOwner(claim: number): void {
        this.reportedClaim = Math.max(this.reportedClaim, claim);
        const isFormer = this.isOwner && claim > this.formerClaim && claim < (this.cover?.claim ?? 0);
        if (isFormer) {
            this.formerClaim = claim;
            this.unknownUntil = this.begunAt + takeoverUncertaintyMs;
            this.applyEnd();
        }
    }

    /** Control reports an owner that this zone had before. */
    handleFormerOwner({ claim, claimedForMs, endedForMs }: Omit<FormerOwner, "zone">): void {
        const known = this.ended?.claim ?? 0;
        if (endedForMs !== undefined && claim >= known) {
            const now = this.options.clock.now();
            const runsUntil = now + Math.max(longestRunAfterEndMs - endedForMs, takeoverUncertaintyMs - claimedForMs);
            const isSame = claim === known;
            this.ended = { claim, runsUntil: Math.max(runsUntil, isSame ? this.ended?.runsUntil ?? 0 : 0) };
        }
        this.handleOwner(claim);
        this.applyEnd();
    }

    /** This entry is no longer the owner; it still knows the workers that it used. */
    end(): void {
        this.isOwner = false;
    }

    /** Records what an owner tells; returns the acknowledgement, unless the notice is outdated or names nothing new. */
    handleNotice(ownerId: string, notice: WorkersNotice): WorkersAcknowledgement | undefined {
        const { claim, revision, workers, isCovering, unknownForMs } = notice;
        if (claim < Math.max(this.latest?.claim ?? 0, this.cover?.claim ?? 0)) {
            return undefined;
        }
        this.endCoverAfterPause();
        const knowledge = this.getKnowledge();
        this.latest = { ownerId, claim, revision };
        if (isCovering) {
            this.cover = { ownerId, claim, endedAt: undefined };
            this.unknownUntil = this.options.clock.now() + unknownForMs;
        }
        return isCovering && workers.length === 0 ? undefined : {
            claim,
            revision,
            isCovered: isCovering,
            workers: isCovering ? [] : this.getWorkersMissingIn(workers),
            ...knowledge,
        };
    }

    /** Records what another entry knows of the owners before this one. */
    handleKnowledge({ coveredClaim, unknownForMs, highestClaim }: WorkerKnowledge): void {
        this.handleOwner(highestClaim);
        if (this.isOfFormerOwner(coveredClaim)) {
            this.unknownUntil = Math.min(this.unknownUntil, this.options.clock.now() + unknownForMs);
        }
    }

    /** The connection to another entry was lost. */
    handleDisconnected(peerId: string): void {
        if (this.cover?.ownerId === peerId) {
            this.cover.endedAt ??= this.options.clock.now();
        }
    }

    /**
     * To be called at short intervals. After a pause of this process its cover is over: returns the acknowledgement by
     * which the owner covers it anew, with the owner's id.
     */
    check(): { readonly ownerId: string; readonly acknowledgement: WorkersAcknowledgement; } | undefined {
        const { latest } = this;
        return !this.endCoverAfterPause() || !latest ? undefined : {
            ownerId: latest.ownerId,
            acknowledgement: {
                claim: latest.claim,
                revision: latest.revision,
                isCovered: false,
                workers: [],
                ...this.getKnowledge(),
            },
        };
    }

    /** True when this entry was covered until a pause of its process, in which another may have owned the workers. */
    private endCoverAfterPause(): boolean {
        const hasPaused = this.pauses.check() !== undefined;
        if (!hasPaused || this.isOwner || !this.cover) {
            return false;
        }
        this.cover = undefined;
        return true;
    }

    /**
     * Until when an owner that was not covered waits. Where nobody has heard of an owner before this one, all former
     * ones ended with their processes before this process began.
     */
    private getUncoveredUntil(): Milliseconds {
        return this.formerClaim > 0
            ? this.begunAt + takeoverUncertaintyMs
            : Math.max(this.begunAt + firstAnswersMs, this.startedAt + longestRunAfterEndMs);
    }

    private applyEnd(): void {
        if (this.ended && this.isOfFormerOwner(this.ended.claim)) {
            this.unknownUntil = Math.min(this.unknownUntil, this.ended.runsUntil);
        }
    }

    /** True when this entry is the owner, and no owner with a higher claim is known to have been before it. */
    private isOfFormerOwner(claim: number): boolean {
        return this.isOwner && claim > 0 && claim >= this.formerClaim && claim < (this.cover?.claim ?? 0);
    }

    private getKnowledge(): WorkerKnowledge {
        const { cover, options: { clock } } = this;
        const isValid = cover && (cover.endedAt === undefined || clock.now() - cover.endedAt <= coverRetentionMs);
        const highestClaim = Math.max(this.reportedClaim, this.latest?.claim ?? 0, cover?.claim ?? 0);
        // An owner that was heard of later, and did not cover this entry, may have used other workers.
        return isValid && cover.claim >= (this.latest?.claim ?? 0)
            ? { coveredClaim: cover.claim, unknownForMs: this.getUnknownForMs(), highestClaim }
            : { coveredClaim: 0, unknownForMs: takeoverUncertaintyMs, highestClaim };
    }

    private getWorkersMissingIn(workers: readonly WorkerAnnouncement[]): readonly WorkerAnnouncement[] {
        const named = new Map(workers.map(({ id, incarnation }) => [id, incarnation]));
        return this.options.getWorkers().filter(({ id, incarnation, state }) =>
            state !== "left" && (named.get(id) ?? -Infinity) < incarnation
        );
    }
}
