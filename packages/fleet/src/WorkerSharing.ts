/**
 * Tells the other entries of the zone which workers its owner uses, so that each can take its place and read the lists of
 * all workers on which it may have started runs. An entry is covered once it has acknowledged the workers in use; from
 * then on a further worker gets tasks only when every covered entry has acknowledged it. An entry that does not
 * acknowledge in time, or whose connection was lost, holds a worker up only until it cannot take itself for covered
 * any longer.
 */

import type { Clock, Milliseconds, Timers, Unsubscribe } from "@anvilmux/common";
import type { WorkerAnnouncement, WorkerId } from "@anvilmux/dispatch";
import { idleHeartbeatTimeoutMs } from "@anvilmux/links";
import type { Logger } from "@anvilmux/telemetry";
import { coverRetentionMs, longestUnnoticedPauseMs } from "./WorkerCoverage";
import type { WorkersAcknowledgement, WorkersNotice } from "./workerNotices";

export interface WorkerSharingOptions {
    readonly getClaim: () => number;
    /** Time for which runs of earlier owners may go on at workers that this owner does not know. */
    readonly getUnknownForMs: () => Milliseconds;
    readonly send: (peerId: string, notice: WorkersNotice) => void;
    /** Called when workers may be used that could not be before. */
    readonly onShared: () => void;
    /** Called for a covered entry that has not acknowledged in time; its connection must be closed. */
    readonly onOverdue: (peerId: string) => void;
    readonly clock: Clock;
    readonly timers: Timers;
    readonly logger: Logger;
}

interface SharedWorker {
    readonly announcement: WorkerAnnouncement;
    readonly revision: number;
}

interface CoveredPeer {
    acknowledged: number;
    /** Revision of the latest notice that was sent to it. */
    sent: number;
    isConnected: boolean;
}

/** New workers and entries within this time are told of in one notice. */
const noticeBatchMs = 20;
const acknowledgementTimeoutMs = 1_000;
/**
 * Time after which an entry that does not answer has noticed it as well, at the latest when it runs again after a pause that it
 * does not notice, and no longer takes itself for covered.
 */
const silentPeerRetentionMs = idleHeartbeatTimeoutMs + longestUnnoticedPauseMs + coverRetentionMs;

export class WorkerSharing {
    private revision = 0;
    private readonly workers = new Map<WorkerId, SharedWorker>();
    /** Workers that a covered entry may not know. */
    private readonly unshared = new Set<WorkerId>();
    private readonly covered = new Map<string, CoveredPeer>();
    /** Connected entries that have not been told of the workers in use. */
    private readonly uninformed = new Set<string>();
    private readonly firstClaim: number;
    private cancelBatch: Unsubscribe | undefined;
    private isStopped = false;

    constructor(private readonly options: WorkerSharingOptions) {
        this.firstClaim = options.getClaim();
    }

    stop(): void {
        this.isStopped = true;
        this.cancelBatch?.();
    }

    /** True when every covered entry knows the worker. */
    isShared(id: WorkerId): boolean {
        return !this.unshared.has(id);
    }

    /** Records a worker that the owner may use from now on, once it is shared. */
    add(announcement: WorkerAnnouncement): void {
        const { id, state } = announcement;
        const present = this.workers.get(id)?.announcement;
        if (state === "left" || (present && isSameProcess(present, announcement))) {
            return;
        }
        this.revision += 1;
        this.workers.set(id, { announcement, revision: this.revision });
        if (this.covered.size > 0) {
            this.unshared.add(id);
            this.scheduleNotices();
        }
    }

    /** An entry has connected, and is told of all workers soon. */
    handleConnected(peerId: string): void {
        this.uninformed.add(peerId);
        this.scheduleNotices();
    }

    /** `isNoticedByPeer`: the entry ended the connection itself, or its process did not go on. */
    handleDisconnected(peerId: string, isNoticedByPeer: boolean): void {
        const peer = this.covered.get(peerId);
        this.uninformed.delete(peerId);
        if (!peer?.isConnected) {
            return;
        }
        peer.isConnected = false;
        this.options.timers.after(isNoticedByPeer ? coverRetentionMs : silentPeerRetentionMs, () => {
            if (this.covered.get(peerId) === peer) {
                this.covered.delete(peerId);
                this.review();
            }
        });
    }

    /** The claim was raised above that of another owner: the entries are asked which of its workers they know. */
    handleClaimRaised(): void {
        for (const [peerId, peer] of this.covered) {
            if (peer.isConnected) {
                this.uninformed.add(peerId);
            }
        }
        this.scheduleNotices();
    }

    handleAcknowledgement(peerId: string, acknowledgement: WorkersAcknowledgement): void {
        const { claim, revision, isCovered } = acknowledgement;
        if (claim < this.firstClaim || revision > this.revision) {
            return;
        }
        const present = this.covered.get(peerId);
        const peer = present?.isConnected ? present : { acknowledged: revision, sent: revision, isConnected: true };
        peer.acknowledged = revision;
        this.covered.set(peerId, peer);
        if (!isCovered) {
            peer.sent = revision;
            this.informCovered(peerId, peer);
        }
        this.review();
    }

    private scheduleNotices(): void {
        this.cancelBatch ??= this.options.timers.after(noticeBatchMs, () => this.sendNotices());
    }

    private sendNotices(): void {
        this.cancelBatch = undefined;
        this.uninformed.forEach(peerId => this.sendNotice(peerId, 0, false));
        this.uninformed.clear();
        for (const [peerId, peer] of this.covered) {
            if (peer.isConnected && peer.sent < this.revision) {
                this.informCovered(peerId, peer);
            }
        }
    }

    /** Sends a connected entry the workers that it has not been told of. */
    private informCovered(peerId: string, peer: CoveredPeer): void {
        const { revision } = this;
        this.sendNotice(peerId, peer.sent, true);
        peer.sent = revision;
        if (peer.acknowledged < revision) {
            this.options.timers.after(acknowledgementTimeoutMs, () => this.checkAcknowledged(peerId, peer, revision));
        }
    }

    private checkAcknowledged(peerId: string, peer: CoveredPeer, revision: number): void {
        const isCurrent = !this.isStopped && peer.isConnected && this.covered.get(peerId) === peer;
        if (isCurrent && peer.acknowledged < revision) {
            const { acknowledged } = peer;
            this.options.logger.warn("entry does not acknowledge the workers in use", {
                peer: peerId,
                revision,
                acknowledged,
            });
            this.options.onOverdue(peerId);
        }
    }

    private sendNotice(peerId: string, knownRevision: number, isCovering: boolean): void {
        const { getClaim, getUnknownForMs, send } = this.options;
        const workers = [...this.workers.values()].flatMap(({ announcement, revision }) =>
            revision > knownRevision ? [announcement] : []
        );
        const unknownForMs = getUnknownForMs();
        send(peerId, { claim: getClaim(), revision: this.revision, workers, isCovering, unknownForMs });
    }

    /** Frees the workers that all covered entries know now. */
    private review(): void {
        if (this.unshared.size === 0 || this.isStopped) {
            return;
        }
        const known = Math.min(this.revision, ...[...this.covered.values()].map(peer => peer.acknowledged));
        const shared = [...this.unshared].filter(id => this.workers.get(id)!.revision <= known);
        shared.forEach(id => this.unshared.delete(id));
        if (shared.length > 0) {
            this.options.onShared();
        }
    }
}

const isSameProcess = (one: WorkerAnnouncement, other: WorkerAnnouncement): boolean =>
    one.incarnation === other.incarnation && one.address === other.address;
