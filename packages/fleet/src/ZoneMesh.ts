/** The connections among the entries of a zone: each calls every other one and tells it its state. */

import type { Clock, Milliseconds } from "@anvilmux/common";
import type { Candidate, Fitness, FreeRoom, WorkerAnnouncement } from "@anvilmux/dispatch";
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
    /** Something about the other entries changed. */
    readonly onChange: () => void;
    readonly getWorkers: () => readonly WorkerAnnouncement[];
    readonly onWorkers: (workers: readonly WorkerAnnouncement[]) => void;
    readonly onReply: (peerId: string, message: FromPeer) => void;
    /** The connection to a peer was lost: what was sent there may not have arrived. */
    readonly onPeerLost: (peerId: string) => void;
    /** Jobs that other entries bring; `home` names the connection. */
    readonly onSubmit: (
        home: string,
        message: Extract<ToPeer, { type: "submit"; }>,
        reply: (message: FromPeer) => void,
    ) => void;
    readonly onAwayKnown: (home: string, message: Extract<ToPeer, { type: "away-known"; }>) => void;
    readonly onCancel: (home: string, message: Extract<ToPeer, { type: "cancel"; }>) => void;
    readonly onHomeLost: (home: string) => void;
}

interface Peer {
    member: EntryMember;
    link: Link<FromPeer, ToPeer>;
    unheardSince: Milliseconds;
}

/** The state a peer told on the connection it made. */
interface HeardState extends Candidate {
    readonly incarnation: number;
    /** The connection on which the state came. */
    readonly connection: number;
}

/** Time after which a peer that is not heard is forgotten. */
const forgetPeerAfterMs = 60_000;

export class ZoneMesh {
    private readonly peers = new Map<string, Peer>();
    private readonly heard = new Map<string, HeardState>();
    private server: LinkServer<ToPeer, FromPeer> | undefined;
    /** Connections from owners of other zones. */
    private readonly zoneOwners = new Set<(message: FromPeer) => void>();
    private nextHome = 0;
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
            accept: send => this.accept(send),
        });
    }

    stop(): void {
        this.server?.close();
        this.peers.forEach(peer => peer.link.stop());
    }

    /** Entries that are heard and can be called. */
    getCandidates(): readonly Candidate[] {
        return [...this.heard.values()].filter(state => this.peers.get(state.id)?.link.isOpen);
    }

    /** True when every entry of the zone that is known here is heard and can be called. */
    isEachPeerHeard(): boolean {
        return this.getCandidates().length === this.peers.size;
    }

    /** False when the peer cannot be reached now. */
    send(peerId: string, message: ToPeer): boolean {
        return this.peers.get(peerId)?.link.send(message) ?? false;
    }

    /** Takes note of the entries that a control instance hears. */
    noteMembers(members: readonly EntryMember[]): void {
        for (const member of members) {
            const present = this.peers.get(member.id);
            const isOwn = member.id === this.options.self.id || member.zone !== this.options.self.zone;
            if (isOwn || (present && present.member.incarnation >= member.incarnation)) {
                continue;
            }
            present?.link.stop();
            this.peers.set(member.id, { member, link: this.call(member), unheardSince: this.clock.now() });
        }
        this.forgetSilentPeers();
    }

    /** Tells every peer this entry's state. */
    tellState(): void {
        this.peers.forEach(peer => peer.link.send(this.getStateMessage()));
    }

    /** Tells the owners of other zones what they may hand over. */
    tellRoom(free: FreeRoom): void {
        this.zoneOwners.forEach(send => send({ type: "room", free }));
    }

    private getStateMessage(): ToPeer {
        const { id, incarnation } = this.options.self;
        return { type: "state", id, incarnation, ...this.options.getState() };
    }

    private call(member: EntryMember): Link<FromPeer, ToPeer> {
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
                environment.logger.warn("entry lost", { peer: member.id, reason });
                const peer = this.peers.get(member.id);
                if (peer) {
                    peer.unheardSince = this.clock.now();
                }
                this.options.onPeerLost(member.id);
                this.options.onChange();
            },
        });
        return link;
    }

    private accept(send: (message: FromPeer) => void): Session<ToPeer> {
        this.nextHome += 1;
        const connection = this.nextHome;
        let home = `${connection}`;
        let peerId: string | undefined;
        return {
            onMessage: message => {
                switch (message.type) {
                    case "state":
                        peerId = message.id;
                        home = `${message.id}#${connection}`;
                        this.heard.set(message.id, { ...message, connection });
                        this.options.onChange();
                        return;
                    case "workers":
                        this.options.onWorkers(message.workers);
                        return;
                    case "zone-owner":
                        home = `${message.zone}/${message.id}#${connection}`;
                        this.zoneOwners.add(send);
                        return;
                    case "submit":
                        this.options.onSubmit(home, message, send);
                        return;
                    case "away-known":
                        this.options.onAwayKnown(home, message);
                        return;
                    case "cancel":
                        this.options.onCancel(home, message);
                }
            },
            onClose: () => {
                this.options.onHomeLost(home);
                this.zoneOwners.delete(send);
                if (peerId !== undefined && this.heard.get(peerId)?.connection === connection) {
                    this.heard.delete(peerId);
                    this.options.onChange();
                }
            },
        };
    }

    private forgetSilentPeers(): void {
        for (const [id, peer] of this.peers) {
            if (!peer.link.isOpen && this.clock.now() - peer.unheardSince > forgetPeerAfterMs) {
                peer.link.stop();
                this.peers.delete(id);
            }
        }
    }
}
