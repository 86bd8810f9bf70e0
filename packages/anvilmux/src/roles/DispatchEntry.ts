/**
 * An entry that dispatches jobs which need not be stored: callers wait at its desk, one entry of the zone owns the
 * zone's workers, and control tells the configuration, the other entries and the workers.
 */

import type { Address, InstanceId, Milliseconds, Unsubscribe, ZoneId } from "@anvilmux/common";
import { hashText } from "@anvilmux/common";
import { ConfigurationHolder } from "@anvilmux/control";
import { chooseTightest, JobDesk, Pool, QueueTable, roomReportPeriodMs, ZoneElection } from "@anvilmux/dispatch";
import type { ConnectWorker, Fitness, JobAnswer, JobRequest, OwnerLink, WorkerAnnouncement } from "@anvilmux/dispatch";
import { ControlLinks, OwnerLinks, WorkerDirectory, ZoneMesh } from "@anvilmux/fleet";
import type { EntryMember, FromPeer, ZoneOwner } from "@anvilmux/fleet";
import { ChannelChecker } from "@anvilmux/links";
import type { ManifestAuthority, Queue } from "@anvilmux/manifest";
import type { Logger, Metrics } from "@anvilmux/telemetry";
import type { Environment } from "../environment";

export interface DispatchEntryOptions {
    readonly instanceId: InstanceId;
    readonly zone: ZoneId;
    readonly host: string;
    readonly linkPort: number;
    /** Link addresses of some control instances. */
    readonly controlSeeds: readonly Address[];
    readonly authority: ManifestAuthority;
    readonly connectWorker: ConnectWorker;
    readonly environment: Environment;
    readonly logger: Logger;
    readonly metrics: Metrics;
}

/** Time between two looks at who owns the zone's workers. */
const electionPeriodMs = 50;
/** Time an entry that leaves goes on owning workers while tasks of its jobs are in other zones. */
const handOverPatienceMs = 1_000;

export class DispatchEntry {
    private readonly checker: ChannelChecker;
    private readonly self: EntryMember;
    private readonly holder: ConfigurationHolder;
    private readonly workers = new WorkerDirectory();
    private readonly desk: JobDesk;
    private readonly election: ZoneElection;
    private readonly mesh: ZoneMesh;
    private control: ControlLinks | undefined;
    private pool: Pool | undefined;
    private ownerLinks: OwnerLinks | undefined;
    private owners: readonly ZoneOwner[] = [];
    private lastRoomReport = "";
    private queues = new QueueTable([]);
    private leaving = false;
    private handOverBy: Milliseconds = 0;
    private unsubscribe: Unsubscribe = () => undefined;

    constructor(private readonly options: DispatchEntryOptions) {
        const { environment, logger, metrics, host, linkPort } = options;
        const { clock, timers } = environment;
        this.self = {
            id: options.instanceId,
            incarnation: Math.floor(clock.wallNow()),
            zone: options.zone,
            address: `${host}:${linkPort}` as Address,
        };
        this.checker = new ChannelChecker(clock, timers, stall => {
            logger.warn("this process stood still", { stallMs: Math.round(stall) });
        });
        this.holder = new ConfigurationHolder({
            authority: options.authority,
            timers,
            logger,
            getPeers: () => [],
            fetch: () => Promise.reject(new Error("configurations come from control")),
        });
        this.desk = new JobDesk({ getOwner: () => this.getOwner(), clock, timers, logger, metrics });
        this.election = new ZoneElection({
            selfId: this.self.id,
            selfNumber: hashText(`${this.self.id} ${this.self.incarnation}`),
            getCandidates: () => this.mesh.getCandidates(),
            getFitness: () => this.getFitness(),
            isIsolated: () => this.mesh.getCandidates().length === 0 && (this.control?.openCount ?? 0) === 0,
            isZoneHeard: () => (this.control?.areMembersTold ?? false) && this.mesh.isEachPeerHeard(),
            clock,
            logger,
            onClaim: claim => this.setClaim(claim),
            onOwner: () => this.desk.noteOwnerChange(),
        });
        this.mesh = this.newMesh();
    }

    /** Rejects when a port cannot be taken. */
    async start(): Promise<void> {
        await this.mesh.start();
        const { environment, controlSeeds, logger } = this.options;
        this.control = new ControlLinks({
            self: this.self,
            seeds: controlSeeds,
            checker: this.checker,
            environment: { ...environment, logger },
            getConfigurationIndex: () => this.holder.index,
            onMembers: members => this.mesh.noteMembers(members),
            getClaim: () => this.election.claim,
            onOwners: owners => this.noteOwners(owners),
            onWorkers: announcements => this.noteWorkers(announcements),
            onConfiguration: (index, envelope) => this.putConfiguration(index, envelope),
        });
        const unsubscribers = [
            environment.timers.every(electionPeriodMs, () => this.election.update()),
            environment.timers.every(roomReportPeriodMs, () => this.reportRoom()),
        ];
        this.unsubscribe = () => unsubscribers.forEach(unsubscribe => unsubscribe());
        this.options.metrics.gauge("anvilmux_open_jobs", {}, () => this.desk.openJobs);
        this.options.metrics.gauge("anvilmux_waiting_jobs", {}, () => this.pool?.waitingJobs ?? 0);
        this.options.metrics.gauge("anvilmux_configuration_index", {}, () => this.holder.index);
    }

    stop(): void {
        this.unsubscribe();
        // First, while the owner can still be told.
        this.desk.stop();
        this.pool?.stop();
        this.ownerLinks?.stop();
        this.control?.stop();
        this.mesh.stop();
        this.checker.stop();
    }

    /** True once a configuration is in force here and the instance does not leave. */
    get isReady(): boolean {
        return this.holder.configuration !== undefined && !this.leaving;
    }

    get isConfigured(): boolean {
        return this.holder.configuration !== undefined;
    }

    get openJobs(): number {
        return this.desk.openJobs;
    }

    /** The entry that owns the zone's workers, as far as this one knows. */
    get ownerId(): string | undefined {
        return this.election.ownerId;
    }

    /** False while no control instance is heard. */
    get hearsControl(): boolean {
        return (this.control?.openCount ?? 0) > 0;
    }

    /** Connects also to control instances that the settings name now. */
    addControlSeeds(seeds: readonly Address[]): void {
        this.control?.addAddresses(seeds);
    }

    findQueue(host: string, path: string): Queue | undefined {
        return this.queues.find(host, path);
    }

    /** Takes a job for a caller; the returned function tells that the caller is gone. */
    accept(request: JobRequest, waiter: (answer: JobAnswer) => void): () => void {
        return this.desk.accept(request, waiter);
    }

    /** Stops owning workers and being ready; jobs at this entry go on. */
    leave(): void {
        this.leaving = true;
        this.handOverBy = this.options.environment.clock.now() + handOverPatienceMs;
        this.pool?.prepareHandOver();
        this.options.logger.info("leaving", { openJobs: this.desk.openJobs });
        this.election.update();
        this.mesh.tellState();
    }

    private getFitness(): Fitness {
        if (!this.isConfigured) {
            return "unfit";
        }
        return this.leaving && !this.waitsToHandOver() ? "leaving" : "ready";
    }

    /** True while handing the workers over would lose what other zones do for this one, or this one for them. */
    private waitsToHandOver(): boolean {
        const isInTime = this.options.environment.clock.now() < this.handOverBy;
        return isInTime && (this.pool?.hasPartsOfOtherZones ?? false);
    }

    private newMesh(): ZoneMesh {
        const { environment, logger, host, linkPort } = this.options;
        return new ZoneMesh({
            self: this.self,
            host,
            port: linkPort,
            checker: this.checker,
            environment: { ...environment, logger },
            getState: () => ({ claim: this.election.claim, fitness: this.getFitness() }),
            onChange: () => this.election.update(),
            onReply: (peerId, message) => this.noteReply(peerId, message),
            getWorkers: () => this.workers.getAll(),
            onWorkers: announcements => this.noteWorkers(announcements),
            onPeerLost: peerId => this.desk.noteOwnerLost(peerId),
            onSubmit: (home, message, reply) => {
                this.takeFromPeer(message.request, home, reply);
            },
            onAwayKnown: (home, message) => this.pool?.noteAwayKnown(message.id, home),
            onCancel: (home, message) => this.pool?.cancel(message.id, home, "cancelled by its entry"),
            onHomeLost: home => this.pool?.noteHomeLost(home),
        });
    }

    private takeFromPeer(request: JobRequest, home: string, reply: (message: FromPeer) => void): void {
        const answer = (given: JobAnswer) => reply({ type: "answer", id: request.id, answer: given });
        if (this.pool) {
            this.pool.submit(request, {
                key: home,
                answer,
                noteAway: () => {
                    reply({ type: "away", id: request.id });
                    return false;
                },
                noteBack: () => reply({ type: "back", id: request.id }),
            });
        }
        else if (request.spilled) {
            answer({ kind: "refused", reason: "this entry owns no workers", retryAfterMs: 0 });
        }
        // An entry of this zone learns of the next owner and hands its job over again.
    }

    private getOwner(): OwnerLink | undefined {
        const { ownerId } = this.election;
        if (ownerId === undefined) {
            return undefined;
        }
        return ownerId === this.self.id ? this.getOwnPool() : {
            id: ownerId,
            submit: request => this.mesh.send(ownerId, { type: "submit", request }),
            cancel: id => this.mesh.send(ownerId, { type: "cancel", id }),
        };
    }

    private getOwnPool(): OwnerLink {
        const { id } = this.self;
        return {
            id,
            submit: request => {
                this.pool?.submit(request, {
                    key: id,
                    answer: answer => this.desk.noteAnswer(id, request.id, answer),
                    // The desk outlives the pool when this entry hands ownership over.
                    noteAway: () => this.desk.noteElsewhere(id, request.id, true),
                    noteBack: () => void this.desk.noteElsewhere(id, request.id, false),
                });
                return this.pool !== undefined;
            },
            cancel: jobId => this.pool?.cancel(jobId, id, "cancelled here"),
        };
    }

    private setClaim(claim: number): void {
        const isOwner = claim > 0;
        if (isOwner && this.pool) {
            this.pool.noteTokenRaised();
        }
        else if (isOwner) {
            this.pool = this.newPool();
            this.ownerLinks = this.newOwnerLinks();
            this.ownerLinks.noteOwners(this.owners);
            this.workers.getAll().forEach(worker => this.pool?.setWorker(worker));
        }
        else {
            this.pool?.stop();
            this.pool = undefined;
            this.ownerLinks?.stop();
            this.ownerLinks = undefined;
            this.desk.noteOwnerLost(this.self.id);
        }
        this.mesh.tellState();
        this.control?.tellClaim();
    }

    private newOwnerLinks(): OwnerLinks {
        const { environment, logger } = this.options;
        return new OwnerLinks({
            self: this.self,
            checker: this.checker,
            environment: { ...environment, logger },
            onAnswer: (zone, id, answer) => this.pool?.noteRemoteAnswer(zone, id, answer),
            onLost: zone => this.pool?.noteRemoteLost(zone),
        });
    }

    private noteOwners(owners: readonly ZoneOwner[]): void {
        this.owners = owners;
        this.ownerLinks?.noteOwners(owners);
    }

    private noteReply(peerId: string, message: FromPeer): void {
        switch (message.type) {
            case "answer":
                this.desk.noteAnswer(peerId, message.id, message.answer);
                return;
            case "away":
                if (this.desk.noteElsewhere(peerId, message.id, true)) {
                    this.mesh.send(peerId, { type: "away-known", id: message.id });
                }
                return;
            case "back":
                this.desk.noteElsewhere(peerId, message.id, false);
        }
    }

    /** Tells the owners of other zones what room is here, when it has changed. */
    private reportRoom(): void {
        const free = this.pool?.getFreeRoom() ?? {};
        const text = JSON.stringify(free);
        if (text !== this.lastRoomReport) {
            this.lastRoomReport = text;
            this.mesh.tellRoom(free);
        }
    }

    private newPool(): Pool {
        const { environment, logger, metrics, connectWorker } = this.options;
        return new Pool({
            connect: connectWorker,
            choose: chooseTightest,
            getRemotePools: () => this.ownerLinks?.getPools() ?? [],
            getFence: () => this.election.claim,
            onFenced: fence => this.election.noteFenced(fence),
            clock: environment.clock,
            timers: environment.timers,
            logger,
            metrics,
        });
    }

    private noteWorkers(announcements: readonly WorkerAnnouncement[]): void {
        for (const announcement of announcements) {
            if (this.workers.note(announcement)) {
                this.pool?.setWorker(announcement);
            }
        }
    }

    private putConfiguration(index: number, envelope: string): void {
        if (this.holder.put(BigInt(index), Buffer.from(envelope))) {
            this.queues = new QueueTable(this.holder.configuration?.manifest.queues ?? []);
            this.mesh.tellState();
            this.election.update();
        }
    }
}
