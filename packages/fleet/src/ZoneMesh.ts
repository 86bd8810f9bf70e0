/**
 * The connections between the entries of a zone: each entry connects to every other one and sends it its state. Jobs
 * are submitted over the same connections. The server also accepts connections from the owners of other zones.
 */

import type { Clock, Milliseconds } from "@anvilmux/common";
import type { Candidate, Fitness, FreeCapacity, NumberedWorkerCall, WorkerAnnouncement } from "@anvilmux/dispatch";
import { Link, LinkServer } from "@anvilmux/links";
import type { ChannelChecker, LinkEnvironment, Session } from "@anvilmux/links";
import type { EntryMember, FromPeer, ToPeer } from "./messages";

export interface ZoneMeshOptions {
    readonly self: EntryMember;
    readonly host: string;
    readonly port: number;
    readonly checker: ChannelChecker;
    readonly environment: LinkEnvironment;
    readonly getState: () => { readonly claim: number; readonly fitness: Fitness; };
    /** Called when an entry connected, disconnected or reported its state. */
    readonly onChange: () => void;
    readonly getWorkers: () => readonly WorkerAnnouncement[];
    readonly onWorkers: (workers: readonly WorkerAnnouncement[]) => void;
    readonly onReply: (peerId: string, message: FromPeer) => void;
    /** Called when the connection to a peer was lost; messages sent on it may not have arrived. */
    readonly onPeerDisconnected: (peerId: string) => void;
    /** Called for a job that another entry submits; `submitterKey` identifies its connection. */
    readonly onSubmit: (
        submitterKey: string,
        message: Extract<ToPeer, { type: "submit"; }>,
        reply: (message: FromPeer) => void,
    ) => void;
    readonly onRemoteAcknowledged: (submitterKey: string, message: Extract<ToPeer, { type: "away-known"; }>) => void;
    readonly onCancel: (submitterKey: string, message: Extract<ToPeer, { type: "cancel"; }>) => void;
    readonly onWithdraw: (submitterKey: string, message: Extract<ToPeer, { type: "withdraw"; }>) => void;
    readonly onSubmitterDisconnected: (submitterKey: string) => void;
    readonly onWorkerCall: (call: NumberedWorkerCall, reply: (message: FromPeer) => void) => void;
}

interface Peer {
    member: EntryMember;
    link: Link<FromPeer, ToPeer>;
    disconnectedSince: Milliseconds;
}

/** The state that a peer reported on the connection that it opened. */
interface ReportedState extends Candidate {
    readonly incarnation: number;
    /** Number of the accepted connection that carried the state. */
    readonly connection: number;
}

/** Time without a connection after which the next member list removes a peer. */
const peerRetentionMs = 60_000;

export class ZoneMesh {
    private readonly peers = new Map<string, Peer>();
    private readonly reportedStates = new Map<string, ReportedState>();
    private server: LinkServer<ToPeer, FromPeer> | undefined;
    /** Send functions of the connections from owners of other zones. */
    private readonly remoteOwnerSenders = new Set<(message: FromPeer) => void>();
    private acceptedConnections = 0;
    private readonly clock: Clock;

    constructor(private readonly options: ZoneMeshOptions) {
        this.clock = options.environment.clock;
    }

    async start(): Promise<void> {
        const { host, port, checker, environment } = this.options;
        this.server = await LinkServer.listen<ToPeer, FromPeer>(environment, {
            host,
            port,
            checker,
            accept: connection => this.accept(connection.send),
        });
    }

    stop(): void {
        this.server?.close();
        this.peers.forEach(peer => peer.link.stop());
    }

    /** Entries that have reported their state and to which a connection is open. */
    getCandidates(): readonly Candidate[] {
        return [...this.reportedStates.values()].filter(state => this.peers.get(state.id)?.link.isOpen);
    }

    /** True when the connections from and to every known entry of the zone are open. */
    areAllPeersConnected(): boolean {
        return this.getCandidates().length === this.peers.size;
    }

    /** Sends a message; false when no connection to the peer is open. */
    send(peerId: string, message: ToPeer): boolean {
        return this.peers.get(peerId)?.link.send(message) ?? false;
    }

    /** Connects to the new entries of this zone in a member list, and removes peers disconnected for too long. */
    handleMembers(members: readonly EntryMember[]): void {
        for (const member of members) {
            const present = this.peers.get(member.id);
            const isIgnored = member.id === this.options.self.id || member.zone !== this.options.self.zone;
            if (isIgnored || (present && present.member.incarnation >= member.incarnation)) {
                continue;
            }
            present?.link.stop();
            this.peers.set(member.id, { member, link: this.connect(member), disconnectedSince: this.clock.now() });
        }
        this.removeDisconnectedPeers();
    }

    /** Sends this entry's state to every connected peer. */
    announceState(): void {
        this.peers.forEach(peer => peer.link.send(this.getStateMessage()));
    }

    /** Reports the free capacity of this zone to the owners of other zones. */
    announceFreeCapacity(free: FreeCapacity): void {
        this.remoteOwnerSenders.forEach(send => send({ type: "room", free }));
    }

    private getStateMessage(): ToPeer {
        const { id, incarnation } = this.options.self;
        return { type: "state", id, incarnation, ...this.options.getState(), isRelay: true };
    }

    private connect(member: EntryMember): Link<FromPeer, ToPeer> {
        const { environment, checker } = this.options;
        const link: Link<FromPeer, ToPeer> = new Link(environment, {
            address: member.address,
            checker,
            onOpen: () => {
                environment.logger.info("entry connected", { peer: member.id });
                link.send({ type: "workers", workers: this.options.getWorkers() });
                link.send(this.getStateMessage());
                this.options.onChange();
            },
            onMessage: message => this.options.onReply(member.id, message),
            onClose: reason => {
                environment.logger.warn("entry disconnected", { peer: member.id, reason });
                const peer = this.peers.get(member.id);
                if (peer) {
                    peer.disconnectedSince = this.clock.now();
                }
                this.options.onPeerDisconnected(member.id);
                this.options.onChange();
            },
        });
        return link;
    }

    private accept(send: (message: FromPeer) => void): Session<ToPeer> {
        this.acceptedConnections += 1;
        const connection = this.acceptedConnections;
        let submitterKey = `${connection}`;
        let peerId: string | undefined;
        return {
            onMessage: message => {
                switch (message.type) {
                    case "state":
                        peerId = message.id;
                        submitterKey = `${message.id}#${connection}`;
                        this.reportedStates.set(message.id, { ...message, connection });
                        this.options.onChange();
                        return;
                    case "workers":
                        this.options.onWorkers(message.workers);
                        return;
                    case "zone-owner":
                        submitterKey = `${message.zone}/${message.id}#${connection}`;
                        this.remoteOwnerSenders.add(send);
                        return;
                    case "submit":
                        this.options.onSubmit(submitterKey, message, send);
                        return;
                    case "away-known":
                        this.options.onRemoteAcknowledged(submitterKey, message);
                        return;
                    case "cancel":
                        this.options.onCancel(submitterKey, message);
                        return;
                    case "withdraw":
                        this.options.onWithdraw(submitterKey, message);
                        return;
                    case "worker-call":
                        this.options.onWorkerCall(message, send);
                }
            },
            onClose: () => {
                this.options.onSubmitterDisconnected(submitterKey);
                this.remoteOwnerSenders.delete(send);
                if (peerId !== undefined && this.reportedStates.get(peerId)?.connection === connection) {
                    this.reportedStates.delete(peerId);
                    this.options.onChange();
                }
            },
        };
    }

    private removeDisconnectedPeers(): void {
        for (const [id, peer] of this.peers) {
            if (!peer.link.isOpen && this.clock.now() - peer.disconnectedSince > peerRetentionMs) {
                peer.link.stop();
                this.peers.delete(id);
            }
        }
    }
}
