/**
 * The connections between the entries of a zone, over which they report their state, submit jobs to the owner of the
 * workers and make calls for it. Each entry is connected to the owner and to the leading entries; the owner to all. A
 * pair has one connection, opened by the entry that comes later in the order of ids. The server also accepts
 * connections from the owners of other zones.
 */

import type { Clock } from "@anvilmux/common";
import type { Candidate, FreeCapacity } from "@anvilmux/dispatch";
import { closedByPeer, connectTimeoutMs, Link, LinkServer } from "@anvilmux/links";
import type { LinkConnection, Session } from "@anvilmux/links";
import { checkMessage, selectAnnouncements } from "./checkMessages";
import type { EntryMember, PeerMessage } from "./messages";
import { determineNeededPeers } from "./neededPeers";
import { findAbsentPeers, findDispensablePeer, maximumPeers } from "./peerRetention";
import { RemoteOwnerConnections } from "./RemoteOwnerConnections";
import { newZonePeer } from "./ZonePeer";
import type { PeerConnection, ZonePeer } from "./ZonePeer";
import type { ZonePeersOptions } from "./zonePeersOptions";

/** Time for which a connection that this entry no longer needs is kept. */
const unneededRetentionMs = 10_000;

export class ZonePeers {
    private readonly peers = new Map<string, ZonePeer>();
    private server: LinkServer<PeerMessage, PeerMessage> | undefined;
    /** Open connections on which this entry has sent its state. */
    private readonly informed = new Set<PeerConnection>();
    private readonly remoteOwners: RemoteOwnerConnections;
    /** The owner and the leading entries, which detect each other's failures soon. */
    private central: ReadonlySet<string> = new Set();
    private preceding: ReadonlySet<string> = new Set();
    private reportedOwner: EntryMember | undefined;
    private connectionCount = 0;
    private isStopped = false;
    private readonly clock: Clock;

    constructor(private readonly options: ZonePeersOptions) {
        this.clock = options.environment.clock;
        const { environment: { logger }, getFreeCapacity } = options;
        this.remoteOwners = new RemoteOwnerConnections({ logger, getFreeCapacity });
    }

    async start(): Promise<void> {
        const { host, port, checker, environment, guard } = this.options;
        this.server = await LinkServer.listen<PeerMessage, PeerMessage>(environment, {
            host,
            port,
            checker,
            guard,
            accept: connection => this.accept(connection),
        });
    }

    stop(): void {
        this.isStopped = true;
        this.server?.close();
        this.peers.forEach(peer => peer.link?.stop());
    }

    /** The connected entries with the states that they reported. */
    getCandidates(): readonly Candidate[] {
        return [...this.peers.values()].flatMap(peer => peer.connection?.state ?? []);
    }

    /** Ids of the known entries, connected or not. */
    getKnownIds(): readonly string[] {
        return [...this.peers.keys()];
    }

    /** This entry's processor share; undefined also while a known entry announces none, as ids then decide. */
    getComparableShare(): number | undefined {
        const areComparable = [...this.peers.values()].every(({ member }) => member.processorShare !== undefined);
        return areComparable ? this.options.self.processorShare : undefined;
    }

    /** True when this entry has all the connections that it needs. */
    areNeededPeersConnected(): boolean {
        return [...this.peers.values()].every(peer => peer.neededSince === undefined || peer.connection !== undefined);
    }

    /** True while it is unknown whether a peer can be reached that owns the workers or comes before this entry. */
    isAwaitingPeers(): boolean {
        return [...this.peers.values()].some(peer => this.isAwaited(peer));
    }

    /** Sends a message; false when the peer is not connected. */
    send(peerId: string, message: PeerMessage): boolean {
        const connection = this.peers.get(peerId)?.connection;
        connection?.send(message);
        return connection !== undefined;
    }

    /** Closes the connection to a peer, which is then opened anew. */
    closeConnection(peerId: string, reason: string): void {
        this.peers.get(peerId)?.connection?.close(reason);
    }

    /** Records the entries of this zone in a member list, and removes peers that have been gone for too long. */
    handleMembers(members: readonly EntryMember[]): void {
        members.forEach(member => this.recordMember(member));
        this.removeAbsentPeers();
        this.review();
    }

    /** Records the owner of this zone's workers that control reports, if any. */
    handleReportedOwner(owner: EntryMember | undefined): void {
        this.reportedOwner = owner;
        if (owner) {
            this.recordMember(owner);
        }
        this.review();
    }

    /** Opens the connections that this entry needs, and closes those that it has not needed for a while. */
    review(): void {
        if (this.isStopped) {
            return;
        }
        const needed = this.determineNeededPeers();
        const now = this.clock.now();
        for (const peer of this.peers.values()) {
            if (needed.has(peer.id)) {
                peer.neededSince ??= now;
                peer.neededUntil = now;
                peer.link ??= this.isOpenedHere(peer.id) ? this.connect(peer.member) : undefined;
            }
            else {
                peer.neededSince = undefined;
                if (peer.link && now - peer.neededUntil > unneededRetentionMs) {
                    this.disconnect(peer);
                }
            }
        }
    }

    /** Sends this entry's state to every peer that has an earlier one. */
    announceState(): void {
        this.informed.forEach(connection => connection.send(this.getStateMessage()));
    }

    /** Reports the free capacity of this zone to the owners of other zones. */
    announceFreeCapacity(free: FreeCapacity): void {
        this.remoteOwners.announce(free);
    }

    private determineNeededPeers(): ReadonlySet<string> {
        const { self, getOwnerId, getState } = this.options;
        const { central, needed, preceding } = determineNeededPeers({
            selfId: self.id,
            ownShare: self.processorShare,
            ownFitness: getState().fitness,
            ownerId: getOwnerId(),
            reportedOwnerId: this.reportedOwner?.id,
            peers: this.peers.values(),
            now: this.clock.now(),
        });
        this.central = central;
        this.preceding = preceding;
        return needed;
    }

    private isOpenedHere(peerId: string): boolean {
        return peerId < this.options.self.id;
    }

    private isAwaited(peer: ZonePeer): boolean {
        if (peer.neededSince === undefined || peer.connection) {
            return false;
        }
        if (this.isOpenedHere(peer.id)) {
            return !peer.isUnreachable;
        }
        const isOpenedSoon = this.preceding.has(peer.id) && !peer.isUnreachable;
        return (peer.id === this.reportedOwner?.id || isOpenedSoon)
            && this.clock.now() - peer.neededSince < connectTimeoutMs;
    }

    private recordMember(member: EntryMember): void {
        const { self } = this.options;
        const present = this.peers.get(member.id);
        if (member.id === self.id || member.zone !== self.zone) {
            return;
        }
        if (!present && this.makeRoom()) {
            this.peers.set(member.id, newZonePeer(member, this.clock.now()));
        }
        if (!present) {
            return;
        }
        present.knownAt = this.clock.now();
        if (present.member.incarnation < member.incarnation) {
            present.member = member;
            present.isUnreachable = false;
            this.disconnect(present);
        }
    }

    private disconnect(peer: ZonePeer): void {
        const { link } = peer;
        peer.link = undefined;
        link?.stop();
    }

    private sendState(connection: PeerConnection): void {
        this.informed.add(connection);
        connection.send(this.getStateMessage());
    }

    private getStateMessage(): PeerMessage {
        const knownWorkers = this.options.getWorkers().length;
        return { type: "state", member: this.options.self, ...this.options.getState(), knownWorkers };
    }

    private connect(member: EntryMember): Link<PeerMessage, PeerMessage> {
        const { environment, checker, openSocket } = this.options;
        let session: Session<PeerMessage> | undefined;
        return new Link<PeerMessage, PeerMessage>(environment, {
            address: member.address,
            checker,
            openSocket,
            onOpen: connection => {
                session = this.newSession(connection, member.id);
            },
            onMessage: message => session?.onMessage(message),
            onClose: reason => session?.onClose(reason),
            onUnreachable: () => this.handleUnreachable(member.id),
            isUrgent: () => session?.isUrgent?.() ?? true,
        });
    }

    /** Handles a connection that another entry opened. */
    accept(connection: LinkConnection<PeerMessage>): Session<PeerMessage> {
        return this.newSession(connection, undefined);
    }

    /** `peerId` is undefined for an accepted connection, until the peer has reported its state. */
    private newSession(
        { send, close, whenPeerPresent }: LinkConnection<PeerMessage>,
        openedPeerId: string | undefined,
    ): Session<PeerMessage> {
        this.connectionCount += 1;
        const connection: PeerConnection = {
            number: this.connectionCount,
            send,
            close,
            whenPeerPresent,
            submitterKey: `${openedPeerId ?? "accepted"}#${this.connectionCount}`,
            state: undefined,
            fitnessSince: this.clock.now(),
        };
        let peerId = openedPeerId;
        const isIdentified = () => peerId !== undefined || this.remoteOwners.has(connection);
        // Asked now, so that the first job that comes over the connection need not wait for an answer.
        whenPeerPresent(() => undefined);
        if (openedPeerId !== undefined) {
            this.sendState(connection);
        }
        return {
            onMessage: message => {
                checkMessage(message);
                switch (message.type) {
                    case "state":
                        if (peerId !== undefined && message.member.id !== peerId) {
                            throw new Error("a connection is that of one entry");
                        }
                        peerId = message.member.id;
                        this.handleState(message, connection, openedPeerId === undefined);
                        return;
                    case "workers":
                        this.options.onWorkers(selectAnnouncements(message.workers, this.options.environment.logger));
                        return;
                    case "zone-owner":
                        this.remoteOwners.add(message, connection);
                        return;
                    default:
                        this.options.onMessage(message, connection, peerId);
                }
            },
            onClose: reason => this.handleClosed(connection, peerId, reason),
            isUrgent: () => this.isUrgent(connection, peerId),
            isIdentified,
        };
    }

    private handleState(
        state: Extract<PeerMessage, { type: "state"; }>,
        connection: PeerConnection,
        isAccepted: boolean,
    ): void {
        const peer = this.recordConnected(state.member);
        const isFirst = connection.state === undefined;
        if (isFirst || connection.state?.fitness !== state.fitness) {
            connection.fitnessSince = this.clock.now();
        }
        const { member, claim, fitness } = state;
        connection.state = { id: member.id, claim, fitness, processorShare: member.processorShare };
        if (isFirst) {
            this.handleConnected(peer, connection);
            if (isAccepted) {
                this.sendState(connection);
            }
            const workers = this.options.getWorkers();
            if (workers.length > state.knownWorkers) {
                connection.send({ type: "workers", workers });
            }
            this.options.onPeerConnected(peer.id);
        }
        this.review();
        this.options.onChange();
    }

    /** The peer that reports its state; control may not have announced it, or its present incarnation, yet. */
    private recordConnected(member: EntryMember): ZonePeer {
        const present = this.peers.get(member.id);
        if (!present && !this.makeRoom()) {
            throw new Error(`more than ${maximumPeers} entries are known`);
        }
        const peer = present ?? newZonePeer(member, this.clock.now());
        this.peers.set(member.id, peer);
        if (member.incarnation > peer.member.incarnation) {
            peer.member = member;
        }
        return peer;
    }

    /** A newer connection replaces the one before, on which messages may have been lost. */
    private handleConnected(peer: ZonePeer, connection: PeerConnection): void {
        const former = peer.connection;
        peer.connection = connection;
        peer.isUnreachable = false;
        const { submitterKey } = connection;
        this.options.environment.logger.info("entry connected", { peer: peer.id, submitter: submitterKey });
        if (former && former !== connection) {
            former.close("replaced by a newer connection");
            this.options.onPeerDisconnected(peer.id, true);
        }
    }

    private handleClosed(connection: PeerConnection, peerId: string | undefined, reason: string): void {
        this.remoteOwners.remove(connection);
        this.informed.delete(connection);
        if (this.isStopped) {
            return;
        }
        this.options.onSubmitterDisconnected(connection.submitterKey);
        const peer = peerId === undefined ? undefined : this.peers.get(peerId);
        if (!peer || (peer.connection && peer.connection !== connection)) {
            return;
        }
        this.options.environment.logger.warn("entry disconnected", { peer: peer.id, reason });
        peer.connection = undefined;
        peer.knownAt = this.clock.now();
        // A connection that this entry itself no longer needs tells nothing of the peer.
        peer.isUnreachable = peer.link !== undefined || !this.isOpenedHere(peer.id);
        this.options.onPeerDisconnected(peer.id, reason === closedByPeer);
        this.review();
        this.options.onChange();
    }

    private handleUnreachable(peerId: string): void {
        const peer = this.peers.get(peerId);
        if (peer && !peer.isUnreachable) {
            peer.isUnreachable = true;
            this.review();
            this.options.onChange();
        }
    }

    private isUrgent(connection: PeerConnection, peerId: string | undefined): boolean {
        const { self, hasOpenJobs } = this.options;
        const isCentral = peerId !== undefined && this.central.has(self.id) && this.central.has(peerId);
        return connection.state === undefined && !this.remoteOwners.has(connection) || isCentral
            || hasOpenJobs(peerId, connection.submitterKey);
    }

    /** False when too many entries are known and all of them are connected. */
    private makeRoom(): boolean {
        const dispensable = this.peers.size < maximumPeers ? undefined : findDispensablePeer(this.peers.values());
        if (dispensable) {
            this.forget(dispensable);
        }
        return this.peers.size < maximumPeers;
    }

    private forget(peer: ZonePeer): void {
        this.peers.delete(peer.id);
        this.disconnect(peer);
    }

    private removeAbsentPeers(): void {
        findAbsentPeers(this.peers.values(), this.clock.now()).forEach(peer => this.forget(peer));
    }
}
