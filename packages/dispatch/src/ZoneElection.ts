/**
 * Who owns the zone's workers: the entry with the highest claim among those that are heard. An entry claims when no
 * entry that is heard does and no other comes before it. Claims are fencing tokens, so that workers settle the rest.
 */

import type { Clock, Milliseconds } from "@anvilmux/common";
import type { Logger } from "@anvilmux/telemetry";
import { electionSettlingMs, heardElectionSettlingMs } from "./constants";

/** Another entry of the zone, as it was heard last. */
export interface Candidate {
    readonly id: string;
    readonly claim: number;
    readonly fitness: Fitness;
}

/** How fit an entry is to own workers: not at all, only while no ready entry is heard, or ready. */
export type Fitness = "unfit" | "leaving" | "ready";

const ranks: Readonly<Record<Fitness, number>> = { unfit: 0, leaving: 1, ready: 2 };

export interface ZoneElectionOptions {
    readonly selfId: string;
    /** Sets this entry's tokens apart from those of others that claim in the same millisecond. */
    readonly selfNumber: number;
    /** The entries that are heard now, without this one. */
    readonly getCandidates: () => readonly Candidate[];
    readonly getFitness: () => Fitness;
    /** True when neither another entry nor control is heard: this entry is probably the one that is cut off. */
    readonly isIsolated: () => boolean;
    /** True when every entry of the zone that control knows of is heard here. */
    readonly isZoneHeard: () => boolean;
    readonly clock: Clock;
    readonly logger: Logger;
    /** Called when this entry's claim changes; 0 is no claim. */
    readonly onClaim: (claim: number) => void;
    readonly onOwner: (ownerId: string | undefined) => void;
}

const tokensPerMillisecond = 4_096;
/** Milliseconds by which a refused token is raised, doubled with each further refusal. */
const firstTokenStepMs = 1_000;
/** Time an entry that hears nobody waits before it claims, and after it had to yield. */
const isolatedPatienceMs = 1_500;
const isolatedYieldMs = 3_000;
/** Time in which the owner whose token a worker obeys should be heard, before this entry raises its own. */
const fencedPatienceMs = 250;

export class ZoneElection {
    private claimed = 0;
    private owner: string | undefined;
    private ownerlessSince: Milliseconds | undefined;
    private raises = 0;
    private highestSeen = 0;
    private yieldsUntil: Milliseconds = 0;
    /** When a worker first refused the present claim. */
    private fencedSince: Milliseconds | undefined;

    constructor(private readonly options: ZoneElectionOptions) {}

    /** This entry's claim; 0 when it makes none. */
    get claim(): number {
        return this.claimed;
    }

    get ownerId(): string | undefined {
        return this.owner;
    }

    get isOwner(): boolean {
        return this.owner === this.options.selfId;
    }

    /** Looks again at who is heard; called when something changed and regularly. */
    update(): void {
        const candidates = this.options.getCandidates();
        this.noteTokens(candidates);
        const highest = getHighestClaimant(candidates);
        if (this.claimed > 0 && highest && this.isBehind(highest)) {
            this.setClaim(0, `"${highest.id}" claims with a higher token`);
        }
        if (this.claimed > 0 && this.getOwnRank() < getHighestRank(candidates)) {
            this.setClaim(0, "this entry leaves and another is ready");
        }
        this.considerRaising();
        if (this.claimed === 0 && !highest) {
            this.considerClaiming(candidates);
        }
        else {
            this.ownerlessSince = undefined;
        }
        this.setOwner(this.claimed > 0 ? this.options.selfId : highest?.id);
    }

    /** A worker obeys a higher token than `token`: unless its owner is heard soon, the claim is raised. */
    noteFenced(token: number): void {
        if (token !== this.claimed) {
            return;
        }
        if (this.options.isIsolated()) {
            this.yieldsUntil = this.options.clock.now() + isolatedYieldMs;
            this.setClaim(0, "a worker obeys a higher token while this entry hears nobody");
            this.update();
            return;
        }
        this.fencedSince ??= this.options.clock.now();
    }

    private considerRaising(): void {
        if (this.fencedSince === undefined || this.options.clock.now() - this.fencedSince < fencedPatienceMs) {
            return;
        }
        this.raises += 1;
        const step = firstTokenStepMs * tokensPerMillisecond * 2 ** Math.min(this.raises, 20);
        this.setClaim(this.claimed + step, "a worker obeys a higher token whose owner is not heard");
    }

    private noteTokens(candidates: readonly Candidate[]): void {
        this.highestSeen = Math.max(this.highestSeen, this.claimed, ...candidates.map(candidate => candidate.claim));
    }

    private considerClaiming(candidates: readonly Candidate[]): void {
        const { clock, selfId } = this.options;
        const now = clock.now();
        const rank = this.getOwnRank();
        if (rank === ranks.unfit) {
            this.ownerlessSince = undefined;
            return;
        }
        this.ownerlessSince ??= now;
        const equals = candidates.filter(candidate => ranks[candidate.fitness] === rank);
        const isFirst = rank >= getHighestRank(candidates) && equals.every(candidate => selfId < candidate.id);
        const isTooEarly = now < this.yieldsUntil || now - this.ownerlessSince < this.getPatience();
        if (!isFirst || isTooEarly) {
            return;
        }
        const fromClock = Math.floor(clock.wallNow()) * tokensPerMillisecond;
        const base = Math.max(fromClock, this.highestSeen + tokensPerMillisecond);
        const token = base - base % tokensPerMillisecond + this.options.selfNumber % tokensPerMillisecond;
        this.setClaim(token, "no entry that is heard claims");
    }

    /** Equal tokens are possible when two entries claim in the same millisecond; the smaller id stands. */
    private isBehind(other: Candidate): boolean {
        return other.claim > this.claimed || (other.claim === this.claimed && other.id < this.options.selfId);
    }

    private getOwnRank(): number {
        return ranks[this.options.getFitness()];
    }

    /** An owner that was known leaves a gap worth closing at once; at the start others may still be joining. */
    private getPatience(): Milliseconds {
        if (this.options.isIsolated()) {
            return isolatedPatienceMs;
        }
        if (this.highestSeen > 0) {
            return 0;
        }
        return this.options.isZoneHeard() ? heardElectionSettlingMs : electionSettlingMs;
    }

    private setClaim(claim: number, reason: string): void {
        this.claimed = claim;
        this.fencedSince = undefined;
        this.options.logger.info(claim > 0 ? "claims the zone's workers" : "gives the zone's workers up", {
            claim,
            reason,
        });
        this.options.onClaim(claim);
    }

    private setOwner(ownerId: string | undefined): void {
        if (this.owner !== ownerId) {
            this.options.logger.info("owner of the zone's workers", { owner: ownerId, before: this.owner });
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
