/**
 * Elects the owner of the zone's workers: the entry with the highest ownership claim among the connected ones. When no
 * connected entry has a claim, the fittest one claims ownership, and among equals the first by capacity
 * (`capacityOrder.ts`). Claims are fencing tokens, so when entries disagree, each worker obeys the highest token that
 * it has seen. After a pause of this process the connections that it knows of may have ended, and another entry may own
 * the workers; it claims only after it had time to hear of that one.
 */

import { PauseDetector } from "@anvilmux/common";
import type { Clock, Milliseconds } from "@anvilmux/common";
import type { Logger } from "@anvilmux/telemetry";
import { sortByCapacity } from "./capacityOrder";
import { connectedElectionSettlingMs, electionSettlingMs } from "./constants";

/** Another entry of the zone, as it last announced itself. */
export interface Candidate {
    readonly id: string;
    readonly claim: number;
    readonly fitness: Fitness;
    /** Processors that the entry may use; undefined where it announces none. */
    readonly processorShare?: number | undefined;
}

/** How fit an entry is to own workers: not at all, only while no ready entry is connected, or ready. */
export type Fitness = "unfit" | "leaving" | "ready";

const ranks: Readonly<Record<Fitness, number>> = { unfit: 0, leaving: 1, ready: 2 };

export interface ZoneElectionOptions {
    readonly selfId: string;
    /** Distinguishes this entry's tokens from those of others that claim at about the same time. */
    readonly selfNumber: number;
    /** The entries that are connected now, without this one. */
    readonly getCandidates: () => readonly Candidate[];
    readonly getFitness: () => Fitness;
    /** This entry's processor share; undefined when it has none, or another entry of the zone announces none. */
    readonly getProcessorShare?: () => number | undefined;
    /** True when neither another entry nor control is connected: probably this entry is the partitioned one. */
    readonly isIsolated: () => boolean;
    /** True when this entry has all connections to other entries that it needs. */
    readonly areNeededEntriesConnected: () => boolean;
    /** True while it is not known yet whether an entry can be reached that may own the workers or claim first. */
    readonly isAwaitingEntries: () => boolean;
    readonly clock: Clock;
    readonly logger: Logger;
    /** Called when this entry's claim changes; 0 means no claim. `formerClaim`: the highest claim seen before. */
    readonly onClaim: (claim: number, formerClaim: number) => void;
    readonly onOwner: (ownerId: string | undefined) => void;
}

/** Number of tokens in a period of wall time, from which each entry takes one of its own. */
const tokensPerPeriod = 65_536;
const tokenPeriodMs = 16;
const tokensPerMillisecond = tokensPerPeriod / tokenPeriodMs;
/** Half of the first increase of a refused token, in milliseconds; each further increase is twice the last. */
const firstTokenStepMs = 1_000;
/** Time an isolated entry waits before it claims, and after it had to yield. */
const isolatedClaimDelayMs = 1_500;
const isolatedYieldMs = 3_000;
/** A pause of this process after which other entries may have closed their connections to it. */
const shortestPauseMs = 600;
/**
 * Longest time an entry waits to be connected again after such a pause before it claims: a failed attempt and the next.
 */
const resumedClaimDelayMs = 1_500;
/**
 * Time without an owner after which the smallest id claims as well. Entries that know different members can each take
 * another one to come first, one of them by share and one by id. Longer than the other delays before a claim, which the
 * first by share keeps.
 */
const disagreementDelayMs = 2_000;
/** Time in which the owner whose token a worker accepted should announce itself, before this entry raises its own. */
const fencedTimeoutMs = 250;

export class ZoneElection {
    private claimed = 0;
    private owner: string | undefined;
    private ownerlessSince: Milliseconds | undefined;
    private raiseCount = 0;
    private highestSeenClaim = 0;
    /** The least claim that a worker which refused this entry's can have accepted. */
    private acceptedClaim = 0;
    private yieldsUntil: Milliseconds = 0;
    /** When this entry last gave up a claim. */
    private releasedAt: Milliseconds | undefined;
    /** When a worker first refused the current claim. */
    private fencedSince: Milliseconds | undefined;
    private readonly pauses: PauseDetector;
    /** When this process ran again after its last pause. */
    private resumedAt: Milliseconds | undefined;

    constructor(private readonly options: ZoneElectionOptions) {
        this.pauses = new PauseDetector(options.clock, shortestPauseMs);
    }

    /** This entry's claim; 0 when it has none. */
    get claim(): number {
        return this.claimed;
    }

    get ownerId(): string | undefined {
        return this.owner;
    }

    get isOwner(): boolean {
        return this.owner === this.options.selfId;
    }

    /** The highest claim that this entry has seen, its own included. */
    get highestClaim(): number {
        return Math.max(this.highestSeenClaim, this.claimed);
    }

    /** Re-evaluates ownership; called periodically and when the connected entries change. */
    update(): void {
        if (this.pauses.check() !== undefined) {
            this.resumedAt = this.options.clock.now();
            this.ownerlessSince = undefined;
        }
        const candidates = this.options.getCandidates();
        this.recordHighestClaim(candidates);
        const highest = getHighestClaimant(candidates);
        if (this.claimed > 0 && highest && this.isSupersededBy(highest)) {
            this.setClaim(0, `"${highest.id}" has a claim that takes precedence`);
        }
        if (this.claimed > 0 && this.getOwnRank() < getHighestRank(candidates)) {
            this.setClaim(0, "this entry is leaving and another is ready");
        }
        this.raiseClaimIfFenced();
        if (this.claimed === 0 && !highest) {
            this.claimIfEligible(candidates);
        }
        else {
            this.ownerlessSince = undefined;
        }
        this.setOwner(this.claimed > 0 ? this.options.selfId : highest?.id);
    }

    /** A worker accepted a higher token than `token`: the claim is raised unless that token's owner connects soon. */
    handleFenced(token: number): void {
        if (token !== this.claimed) {
            return;
        }
        this.acceptedClaim = token + 1;
        if (this.options.isIsolated()) {
            this.yieldsUntil = this.options.clock.now() + isolatedYieldMs;
            this.setClaim(0, "a worker accepted a higher fencing token while this entry is isolated");
            this.update();
            return;
        }
        this.fencedSince ??= this.options.clock.now();
    }

    /**
     * Another entry has seen a higher claim, whose owner may have started tasks: this entry's claim is raised above it,
     * so that the workers list their runs again and refuse that owner.
     */
    handleOutranked(claim: number): void {
        if (this.claimed > 0 && claim > this.claimed) {
            this.highestSeenClaim = Math.max(this.highestSeenClaim, claim);
            this.setClaim(this.newToken(), "another entry has seen a higher claim");
        }
    }

    private raiseClaimIfFenced(): void {
        if (this.fencedSince === undefined || this.options.clock.now() - this.fencedSince < fencedTimeoutMs) {
            return;
        }
        this.raiseCount += 1;
        const step = firstTokenStepMs * tokensPerMillisecond * 2 ** Math.min(this.raiseCount, 20);
        this.setClaim(this.claimed + step, "a worker accepted a higher fencing token whose owner is not connected");
    }

    private recordHighestClaim(candidates: readonly Candidate[]): void {
        this.highestSeenClaim = Math.max(
            this.highestSeenClaim,
            this.claimed,
            ...candidates.map(candidate => candidate.claim),
        );
    }

    private claimIfEligible(candidates: readonly Candidate[]): void {
        const { clock } = this.options;
        const now = clock.now();
        const rank = this.getOwnRank();
        if (rank === ranks.unfit) {
            this.ownerlessSince = undefined;
            return;
        }
        this.ownerlessSince ??= now;
        const equals = candidates.filter(candidate => ranks[candidate.fitness] === rank);
        const isPreferred = rank >= getHighestRank(candidates) && this.isFirst(equals, now - this.ownerlessSince);
        const isTooEarly = now < this.yieldsUntil || now - this.ownerlessSince < this.getClaimDelay();
        if (!isPreferred || isTooEarly || this.options.isAwaitingEntries()) {
            return;
        }
        this.setClaim(this.newToken(), "no connected entry claims ownership");
    }

    private isFirst(others: readonly Candidate[], ownerlessMs: Milliseconds): boolean {
        const { selfId, getProcessorShare } = this.options;
        const self = { id: selfId, processorShare: getProcessorShare?.() };
        return sortByCapacity([self, ...others])[0] === self
            || (ownerlessMs >= disagreementDelayMs && others.every(({ id }) => selfId < id));
    }

    /** A token above all that this entry has seen. */
    private newToken(): number {
        const fromClock = Math.floor(this.options.clock.wallNow() / tokenPeriodMs) * tokensPerPeriod;
        const base = Math.max(fromClock, this.highestSeenClaim + tokensPerPeriod);
        return base - base % tokensPerPeriod + this.options.selfNumber % tokensPerPeriod;
    }

    /** Two entries that claim at about the same time can have equal tokens; the smaller id takes precedence. */
    private isSupersededBy(other: Candidate): boolean {
        return other.claim > this.claimed || (other.claim === this.claimed && other.id < this.options.selfId);
    }

    private getOwnRank(): number {
        return ranks[this.options.getFitness()];
    }

    /**
     * No delay after a known owner disconnects; a delay at the start and after a pause, as others may still be joining.
     */
    private getClaimDelay(): Milliseconds {
        if (this.options.isIsolated()) {
            return isolatedClaimDelayMs;
        }
        const isResuming = this.isResuming();
        if (this.highestSeenClaim > 0 && !isResuming) {
            return 0;
        }
        if (this.options.areNeededEntriesConnected()) {
            return connectedElectionSettlingMs;
        }
        return isResuming ? resumedClaimDelayMs : electionSettlingMs;
    }

    /** What is known of the connected entries may be from before a pause. */
    private isResuming(): boolean {
        return this.resumedAt !== undefined && this.options.clock.now() - this.resumedAt < resumedClaimDelayMs;
    }

    private setClaim(claim: number, reason: string): void {
        const now = this.options.clock.now();
        const hadClaim = this.claimed > 0;
        const sinceReleaseMs = hadClaim || this.releasedAt === undefined
            ? undefined
            : Math.round(now - this.releasedAt);
        if (claim === 0) {
            this.releasedAt = now;
        }
        const formerClaim = Math.max(this.highestClaim, this.acceptedClaim);
        this.claimed = claim;
        this.fencedSince = undefined;
        this.options.logger.info(
            claim > 0 ? "claimed ownership of the zone's workers" : "released ownership of the zone's workers",
            {
                claim,
                reason,
                sinceReleaseMs,
            },
        );
        this.options.onClaim(claim, formerClaim);
    }

    private setOwner(ownerId: string | undefined): void {
        if (this.owner !== ownerId) {
            this.options.logger.info("owner of the zone's workers changed", { owner: ownerId, before: this.owner });
            this.owner = ownerId;
            this.options.onOwner(ownerId);
        }
    }
}

const getHighestClaimant = (candidates: readonly Candidate[]): Candidate | undefined =>
    candidates
        .filter(candidate => candidate.claim > 0)
        .sort((one, other) => other.claim - one.claim || (one.id < other.id ? -1 : 1))[0];

const getHighestRank = (candidates: readonly Candidate[]): number =>
    Math.max(0, ...candidates.map(candidate => ranks[candidate.fitness]));
