/**
 * How far the entries of a zone have submitted their jobs to a new owner of its workers. A run of a former owner whose job was not
 * among them is waited for by none of these entries, so the owner need not keep it for a job that is still to come.
 */

import type { HandoverState } from "@anvilmux/dispatch";

export interface JobHandoverOptions {
    /** Ids of the other entries of the zone that are known, connected or not. */
    readonly getKnownPeers: () => readonly string[];
    readonly isConnected: (peerId: string) => boolean;
    /** False while entries of the zone may not be known. */
    readonly areMembersReported: () => boolean;
}

export class JobHandover {
    /** The first claim of the present ownership; 0 while another entry owns the workers. */
    private firstClaim = 0;
    private readonly submitted = new Set<string>();
    /** Entries that fell silent. They are not waited for: the leases of their runs end soon after. */
    private readonly silent = new Set<string>();

    constructor(private readonly options: JobHandoverOptions) {}

    /** This entry owns the workers, or has raised its claim. */
    begin(claim: number): void {
        if (this.firstClaim === 0) {
            this.firstClaim = claim;
        }
    }

    end(): void {
        this.firstClaim = 0;
        this.submitted.clear();
    }

    /** An entry has submitted all of its jobs to the owner with this claim; ignored for an earlier ownership. */
    handleSubmitted(peerId: string, claim: number): void {
        if (this.firstClaim > 0 && claim >= this.firstClaim) {
            this.submitted.add(peerId);
        }
    }

    /**
     * Jobs that an entry submitted last may not have arrived; it submits them again once it is connected.
     * `isNoticedByPeer`: it closed the connection, or its process ended; false when it was silent for too long.
     */
    handleDisconnected(peerId: string, isNoticedByPeer: boolean): void {
        this.submitted.delete(peerId);
        this.silent.delete(peerId);
        if (!isNoticedByPeer) {
            this.forgetUnknown();
            this.silent.add(peerId);
        }
    }

    get state(): HandoverState {
        const { getKnownPeers, isConnected, areMembersReported } = this.options;
        const missing = getKnownPeers().filter(peerId =>
            !this.submitted.has(peerId) && (isConnected(peerId) || !this.silent.has(peerId))
        );
        if (missing.some(isConnected) || !areMembersReported()) {
            return "in-progress";
        }
        return missing.length > 0 ? "connected" : "complete";
    }

    private forgetUnknown(): void {
        const known = new Set(this.options.getKnownPeers());
        [...this.silent].filter(peerId => !known.has(peerId)).forEach(peerId => this.silent.delete(peerId));
    }
}
