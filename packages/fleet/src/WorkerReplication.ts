/**
 * The knowledge of the zone's workers that its entries share, so that an owner can be replaced by any of them: the owner
 * tells the others which workers it uses, and each keeps account of what it may not know.
 */

import type { Clock, Milliseconds, Timers } from "@anvilmux/common";
import type { WorkerAnnouncement, WorkerId } from "@anvilmux/dispatch";
import type { Logger } from "@anvilmux/telemetry";
import { selectAnnouncements } from "./checkMessages";
import type { FormerOwner, PeerMessage } from "./messages";
import { WorkerCoverage } from "./WorkerCoverage";
import { WorkerSharing } from "./WorkerSharing";
import type { PeerConnection } from "./ZonePeer";
import type { ZonePeers } from "./ZonePeers";

export interface WorkerReplicationOptions {
    readonly peers: Pick<ZonePeers, "send" | "getCandidates" | "closeConnection">;
    readonly getClaim: () => number;
    /** All workers that this entry knows. */
    readonly getWorkers: () => readonly WorkerAnnouncement[];
    /** Called for workers that another entry names. */
    readonly onWorkers: (workers: readonly WorkerAnnouncement[]) => void;
    /** Called when this owner may use workers that it could not before. */
    readonly onShared: () => void;
    readonly clock: Clock;
    readonly timers: Timers;
    readonly logger: Logger;
}

type Notice = Extract<PeerMessage, { type: "owner-workers"; }>;
type Acknowledgement = Extract<PeerMessage, { type: "owner-workers-known"; }>;

type Connection = Pick<PeerConnection, "send" | "whenPeerPresent">;

export class WorkerReplication {
    private readonly coverage: WorkerCoverage;
    /** Undefined while another entry owns the workers. */
    private sharing: WorkerSharing | undefined;

    constructor(private readonly options: WorkerReplicationOptions) {
        this.coverage = new WorkerCoverage(options);
    }

    /** Until when runs of former owners may go on at workers that this owner does not know. */
    getUnknownUntil(): Milliseconds {
        return this.coverage.getUnknownUntil();
    }

    /** False while an entry that may succeed this owner does not know the worker. */
    isShared(id: WorkerId): boolean {
        return this.sharing?.isShared(id) ?? true;
    }

    /** This entry owns the workers, or has raised its claim. `formerClaim`: the highest claim that it saw before. */
    begin(formerClaim: number, workers: readonly WorkerAnnouncement[]): void {
        this.coverage.begin(this.options.getClaim(), formerClaim);
        this.options.logger.info("workers of the former owner", {
            formerClaim,
            unknownForMs: Math.round(this.coverage.getUnknownForMs()),
        });
        if (this.sharing) {
            this.sharing.handleClaimRaised();
            return;
        }
        const { peers } = this.options;
        const sharing = this.newSharing();
        workers.forEach(worker => sharing.add(worker));
        peers.getCandidates().forEach(({ id }) => sharing.handleConnected(id));
        this.sharing = sharing;
    }

    end(): void {
        this.sharing?.stop();
        this.sharing = undefined;
        this.coverage.end();
    }

    /** Records a worker that this entry uses if it is the owner. */
    add(announcement: WorkerAnnouncement): void {
        this.sharing?.add(announcement);
    }

    /** To be called at short intervals. */
    check(): void {
        const uncovered = this.coverage.check();
        if (uncovered) {
            this.options.peers.send(uncovered.ownerId, { type: "owner-workers-known", ...uncovered.acknowledgement });
        }
    }

    /** Control reports an owner of this zone. */
    handleOwner(claim: number): void {
        this.coverage.handleOwner(claim);
    }

    /** Control reports an owner that this zone had before. */
    handleFormerOwner(former: FormerOwner): void {
        this.coverage.handleFormerOwner(former);
    }

    handlePeerConnected(peerId: string): void {
        this.sharing?.handleConnected(peerId);
    }

    handlePeerDisconnected(peerId: string, isNoticedByPeer: boolean): void {
        this.coverage.handleDisconnected(peerId);
        this.sharing?.handleDisconnected(peerId, isNoticedByPeer);
    }

    /** A notice that was held up may come from an owner that no longer waits for this entry. */
    handleNotice(peerId: string, notice: Notice, { send, whenPeerPresent }: Connection): void {
        whenPeerPresent(() => {
            const workers = selectAnnouncements(notice.workers, this.options.logger);
            const isComplete = workers.length === notice.workers.length;
            const acknowledgement = isComplete ? this.coverage.handleNotice(peerId, notice) : undefined;
            this.options.onWorkers(workers);
            if (acknowledgement) {
                send({ type: "owner-workers-known", ...acknowledgement });
            }
        });
    }

    handleAcknowledgement(peerId: string, acknowledgement: Acknowledgement): void {
        const workers = selectAnnouncements(acknowledgement.workers, this.options.logger);
        this.options.onWorkers(workers);
        if (acknowledgement.claim === this.options.getClaim() && workers.length === acknowledgement.workers.length) {
            this.coverage.handleKnowledge(acknowledgement);
        }
        this.sharing?.handleAcknowledgement(peerId, acknowledgement);
    }

    private newSharing(): WorkerSharing {
        const { peers, getClaim, onShared, clock, timers, logger } = this.options;
        return new WorkerSharing({
            getClaim,
            getUnknownForMs: () => this.coverage.getUnknownForMs(),
            send: (peerId, notice) => peers.send(peerId, { type: "owner-workers", ...notice }),
            onShared,
            onOverdue: peerId => peers.closeConnection(peerId, "the workers in use were not acknowledged"),
            clock,
            timers,
            logger,
        });
    }
}
