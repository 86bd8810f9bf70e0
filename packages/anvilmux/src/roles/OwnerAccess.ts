/** An entry's way to the owner of its zone's workers, which may be itself: submits jobs to it, and tells it once it has all. */

import type { OwnerLink, PendingJobs, TaskScheduler, ZoneElection } from "@anvilmux/dispatch";
import type { ZonePeers } from "@anvilmux/fleet";
import { newLocalOwnerLink } from "./localOwnerLink";

export interface OwnerAccessOptions {
    readonly selfId: string;
    readonly peers: ZonePeers;
    readonly election: ZoneElection;
    readonly pendingJobs: PendingJobs;
    /** Undefined while another entry owns the workers. */
    readonly getScheduler: () => TaskScheduler | undefined;
}

export class OwnerAccess {
    constructor(private readonly options: OwnerAccessOptions) {}

    /** The present owner; undefined while none is known. */
    getLink(): OwnerLink | undefined {
        const { selfId, peers, election: { ownerId }, pendingJobs, getScheduler } = this.options;
        if (ownerId === undefined) {
            return undefined;
        }
        return ownerId === selfId ? newLocalOwnerLink(ownerId, pendingJobs, getScheduler) : {
            id: ownerId,
            submit: (request, submission) => peers.send(ownerId, { type: "submit", request, submission }),
            cancel: id => peers.send(ownerId, { type: "cancel", id }),
            withdraw: id => peers.send(ownerId, { type: "withdraw", id }),
        };
    }

    /** Submits the jobs that are not with the owner yet, and tells it that these are all. */
    submitAll(): void {
        const { peers, election, pendingJobs } = this.options;
        pendingJobs.handleOwnerChange();
        const owner = peers.getCandidates().find(({ id }) => id === election.ownerId);
        if (owner) {
            peers.send(owner.id, { type: "jobs-submitted", claim: owner.claim });
        }
    }

    /** An entry has connected; what was sent to it before may be lost. */
    handlePeerConnected(peerId: string): void {
        if (peerId === this.options.election.ownerId) {
            this.submitAll();
        }
    }
}
