/**
 * An entry that dispatches jobs without storing them: each caller waits at its entry for the answer. The entries of a
 * zone elect one owner of the zone's workers, to which the others forward their jobs; the owner spills tasks to other
 * zones, that is, forwards them to the owner of another zone. Control instances announce the configuration, the other
 * entries and the workers.
 */

import type { Address, Milliseconds, Unsubscribe } from "@anvilmux/common";
import { hashText } from "@anvilmux/common";
import { ConfigurationHolder } from "@anvilmux/control";
import { isProcessorShare, PendingJobs, QueueTable, WorkerRelay, ZoneElection } from "@anvilmux/dispatch";
import type { Fitness, JobAnswer, JobOutline, JobRequest, TaskScheduler, WorkerAnnouncement } from "@anvilmux/dispatch";
import {
    ControlLinks,
    DrainedZones,
    JobHandover,
    WorkerDirectory,
    WorkerReplication,
    ZonePeers,
} from "@anvilmux/fleet";
import type { EntryMember, ZoneOwner } from "@anvilmux/fleet";
import { ChannelChecker, heartbeatTimeoutMs } from "@anvilmux/links";
import type { Queue } from "@anvilmux/manifest";
import { getProcessorTime, LoopDelayMonitor } from "@anvilmux/telemetry";
import type { DispatchEntryOptions } from "./dispatchEntryOptions";
import { mustAwaitDrainedZones } from "./drainedZonesWait";
import { EntryMessages } from "./EntryMessages";
import { JobArrivalCheck } from "./JobArrivalCheck";
import { OwnerAccess } from "./OwnerAccess";
import { WorkerOwnership } from "./WorkerOwnership";

/** Interval at which the election of the owner of the zone's workers is updated. */
const electionPeriodMs = 100;
/** Longest time a leaving owner postpones the transfer of its workers while tasks are spilled between zones. */
const transferTimeoutMs = 1_000;

export class DispatchEntry {
    private readonly checker: ChannelChecker;
    private readonly self: EntryMember;
    private readonly configurationHolder: ConfigurationHolder;
    private readonly workers: WorkerDirectory;
    private readonly drainedZones = new DrainedZones();
    private readonly pendingJobs: PendingJobs;
    private readonly election: ZoneElection;
    private readonly ownerAccess: OwnerAccess;
    private readonly peers: ZonePeers;
    private readonly messages: EntryMessages;
    private readonly replication: WorkerReplication;
    private readonly handover: JobHandover;
    private readonly ownership: WorkerOwnership;
    private readonly relay: WorkerRelay;
    private readonly arrivalCheck: JobArrivalCheck;
    private control: ControlLinks | undefined;
    private queues = new QueueTable([]);
    private leaving = false;
    private transferDeadline: Milliseconds = 0;
    private configuredAt: Milliseconds | undefined;
    private unsubscribe: Unsubscribe = () => undefined;

    constructor(private readonly options: DispatchEntryOptions) {
        const { environment, logger, metrics, host, linkPort } = options;
        const { clock, timers } = environment;
        this.self = {
            id: options.instanceId,
            incarnation: Math.floor(clock.wallNow()),
            zone: options.zone,
            address: `${host}:${linkPort}` as Address,
            ...(isProcessorShare(options.processorShare) && { processorShare: options.processorShare }),
        };
        this.workers = new WorkerDirectory(clock);
        this.arrivalCheck = new JobArrivalCheck({ ...options, getWorkers: () => this.workers.getAll() });
        this.checker = new ChannelChecker(clock, timers, stall => {
            logger.warn("process stalled", { stallMs: Math.round(stall) });
        });
        this.configurationHolder = new ConfigurationHolder({
            authority: options.authority,
            timers,
            logger,
            getPeers: () => [],
            fetch: () => Promise.reject(new Error("an entry receives its configuration from control instances only")),
        });
        this.pendingJobs = new PendingJobs({
            getOwner: () => this.ownerAccess.getLink(),
            getHighestClaim: () => this.election.highestClaim,
            holdMemory: options.holdMemory,
            clock,
            timers,
            logger,
            metrics,
        });
        this.election = new ZoneElection({
            selfId: this.self.id,
            selfNumber: hashText(`${this.self.id} ${this.self.incarnation}`),
            getCandidates: () => this.peers.getCandidates(),
            getFitness: () => this.getFitness(),
            getProcessorShare: () => this.peers.getComparableShare(),
            isIsolated: () => this.isWithoutPeers && !(this.control?.isHeardWithin(heartbeatTimeoutMs) ?? false),
            areNeededEntriesConnected: () =>
                (this.control?.areMembersReported ?? false) && this.peers.areNeededPeersConnected(),
            isAwaitingEntries: () => this.peers.isAwaitingPeers() || this.isAwaitingDrainedZones(),
            clock,
            logger,
            onClaim: (claim, formerClaim) => this.handleClaimChange(claim, formerClaim),
            onOwner: () => {
                this.peers.review();
                this.ownerAccess.submitAll();
            },
        });
        this.relay = new WorkerRelay({ connect: options.connectWorker, clock, timers });
        this.peers = this.newPeers();
        this.ownerAccess = new OwnerAccess({
            selfId: this.self.id,
            peers: this.peers,
            election: this.election,
            pendingJobs: this.pendingJobs,
            getScheduler: () => this.scheduler,
        });
        this.replication = new WorkerReplication({
            peers: this.peers,
            getClaim: () => this.election.claim,
            getWorkers: () => this.workers.getAll(),
            onWorkers: announcements => this.handleWorkers(announcements),
            onShared: () => this.scheduler?.handleWorkersShared(),
            clock,
            timers,
            logger,
        });
        this.handover = new JobHandover({
            getKnownPeers: () => this.peers.getKnownIds(),
            isConnected: peerId => this.peers.getCandidates().some(({ id }) => id === peerId),
            areMembersReported: () => this.control?.areMembersReported ?? false,
        });
        this.ownership = new WorkerOwnership({
            ...options,
            self: this.self,
            checker: this.checker,
            peers: this.peers,
            replication: this.replication,
            handover: this.handover,
            getFencingToken: () => this.election.claim,
            getOverloadSettings: () => this.queues.overloadSettings,
            onFenced: fencingToken => this.election.handleFenced(fencingToken),
            onOutranked: claim => this.election.handleOutranked(claim),
        });
        this.messages = new EntryMessages({
            getScheduler: () => this.scheduler,
            pendingJobs: this.pendingJobs,
            relay: this.relay,
            relayedWorkers: this.ownership.relayedWorkers,
            replication: this.replication,
            handover: this.handover,
        });
    }

    /** Rejects when the link port cannot be bound. */
    async start(): Promise<void> {
        await this.peers.start();
        const { environment, controlSeeds, logger, metrics } = this.options;
        this.control = new ControlLinks({
            self: this.self,
            seeds: controlSeeds,
            checker: this.checker,
            environment: { ...environment, logger },
            getConfigurationIndex: () => this.configurationHolder.index,
            onMembers: members => this.peers.handleMembers(members),
            getClaim: () => this.election.claim,
            isUrgent: () => this.isWithoutPeers,
            onOwners: owners => this.handleOwners(owners),
            onFormerOwners: former =>
                former.filter(owner => owner.zone === this.self.zone)
                    .forEach(owner => this.replication.handleFormerOwner(owner)),
            onWorkers: announcements => this.handleWorkers(announcements),
            onConfiguration: (index, envelope) => this.applyConfiguration(index, envelope),
            onDrainedZones: (index, zones) => this.handleDrainedZones(index, zones),
        });
        const loopDelay = new LoopDelayMonitor({ ...environment, logger, metrics, getProcessorTime });
        const unsubscribers = [
            () => loopDelay.stop(),
            environment.timers.every(electionPeriodMs, () => {
                this.peers.review();
                this.replication.check();
                this.election.update();
            }),
        ];
        this.unsubscribe = () => unsubscribers.forEach(unsubscribe => unsubscribe());
        metrics.gauge("anvilmux_open_jobs", {}, () => this.pendingJobs.openJobs);
        metrics.gauge("anvilmux_waiting_jobs", {}, () => this.scheduler?.waitingJobs ?? 0);
        metrics.gauge("anvilmux_configuration_index", {}, () => this.configurationHolder.index);
        const { zone } = this.self;
        metrics.gauge("anvilmux_zone_drained", { zone }, () => this.drainedZones.isDrained(zone) ? 1 : 0);
    }

    stop(): void {
        this.unsubscribe();
        // Pending jobs are cancelled at their owner, so this comes before the connections are closed.
        this.pendingJobs.stop();
        this.ownership.stop();
        this.relay.stop();
        this.control?.stop();
        this.peers.stop();
        this.checker.stop();
    }

    /** True once a configuration is active here, until the entry begins to leave. */
    get isReady(): boolean {
        return this.configurationHolder.configuration !== undefined && !this.leaving;
    }

    get isConfigured(): boolean {
        return this.configurationHolder.configuration !== undefined;
    }

    get openJobs(): number {
        return this.pendingJobs.openJobs;
    }

    /** The entry that owns the zone's workers, as last determined by this entry. */
    get ownerId(): string | undefined {
        return this.election.ownerId;
    }

    /** False while no connection to a control instance is open. */
    get isConnectedToControl(): boolean {
        return (this.control?.openCount ?? 0) > 0;
    }

    /** Connects to further control instances; used when the settings are read again. */
    addControlSeeds(seeds: readonly Address[]): void {
        this.control?.addAddresses(seeds);
    }

    findQueue(host: string, path: string): Queue | undefined {
        return this.queues.find(host, path);
    }

    /** Why a job that arrives is refused before its tasks are created; undefined for one that is to be accepted. */
    findRefusal(outline: JobOutline): string | undefined {
        return this.pendingJobs.has(outline.id) ? undefined : this.arrivalCheck.findRefusal(outline);
    }

    /** Accepts a job for a caller; the returned function must be called when the caller disconnects. */
    accept(request: JobRequest, waiter: (answer: JobAnswer) => void): () => void {
        return this.pendingJobs.accept(request, waiter);
    }

    /** Stops being ready and gives up ownership of the workers; jobs accepted by this entry continue. */
    leave(): void {
        this.leaving = true;
        this.transferDeadline = this.options.environment.clock.now() + transferTimeoutMs;
        this.scheduler?.prepareTransfer();
        this.options.logger.info("leaving", { openJobs: this.pendingJobs.openJobs });
        this.election.update();
        this.peers.announceState();
    }

    private get scheduler(): TaskScheduler | undefined {
        return this.ownership.scheduler;
    }

    private get isWithoutPeers(): boolean {
        return this.peers.getCandidates().length === 0;
    }

    private isAwaitingDrainedZones(): boolean {
        const { configuredAt, control, drainedZones, options: { environment: { clock } } } = this;
        return mustAwaitDrainedZones({
            isListKnown: drainedZones.isKnown,
            configuredForMs: configuredAt === undefined ? undefined : clock.now() - configuredAt,
            isControlHeard: control?.isHeardWithin(heartbeatTimeoutMs) ?? false,
            areMembersReported: control?.areMembersReported ?? false,
            isListPending: control?.areDrainedZonesPending ?? false,
        });
    }

    private getFitness(): Fitness {
        if (!this.isConfigured) {
            return "unfit";
        }
        return this.leaving && !this.isTransferPostponed() ? "leaving" : "ready";
    }

    /** True while an ownership transfer would lose track of tasks spilled to or from other zones. */
    private isTransferPostponed(): boolean {
        const isInTime = this.options.environment.clock.now() < this.transferDeadline;
        return isInTime && (this.scheduler?.hasCrossZoneTasks ?? false);
    }

    private newPeers(): ZonePeers {
        const { environment, logger, host, listenHost = host, linkPort } = this.options;
        return new ZonePeers({
            self: this.self,
            host: listenHost,
            port: linkPort,
            checker: this.checker,
            guard: this.options.guard,
            environment: { ...environment, logger },
            getState: () => ({ claim: this.election.claim, fitness: this.getFitness() }),
            getOwnerId: () => this.election.ownerId,
            hasOpenJobs: (peerId, submitter) =>
                (peerId !== undefined && this.pendingJobs.hasJobsAt(peerId))
                || (this.scheduler?.hasJobsOf(submitter) ?? false),
            onChange: () => {
                this.ownership.relayedWorkers.handleRelaysChanged();
                this.election.update();
            },
            onMessage: (message, connection, peerId) => this.messages.handle(message, connection, peerId),
            getFreeCapacity: () => this.ownership.getFreeCapacity(),
            getWorkers: () => this.workers.getAll(),
            onWorkers: announcements => this.handleWorkers(announcements),
            onPeerConnected: peerId => {
                this.replication.handlePeerConnected(peerId);
                this.ownerAccess.handlePeerConnected(peerId);
            },
            onPeerDisconnected: (peerId, isNoticedByPeer) => {
                this.handover.handleDisconnected(peerId, isNoticedByPeer);
                this.replication.handlePeerDisconnected(peerId, isNoticedByPeer);
                this.ownership.relayedWorkers.handleDisconnected(peerId);
                this.pendingJobs.handleOwnerDisconnected(peerId);
            },
            onSubmitterDisconnected: submitter => this.scheduler?.handleSubmitterDisconnected(submitter),
        });
    }

    private handleClaimChange(claim: number, formerClaim: number): void {
        if (claim > 0) {
            this.ownership.assume(this.workers.getAll(), formerClaim);
        }
        else {
            this.ownership.release();
            this.pendingJobs.handleOwnerDisconnected(this.self.id);
        }
        this.peers.announceState();
        this.control?.announceClaim();
    }

    private handleOwners(owners: readonly ZoneOwner[]): void {
        const ownZone = owners.filter(owner => owner.member.zone === this.self.zone);
        const latest = ownZone.reduce<ZoneOwner | undefined>(
            (highest, owner) => highest && highest.claim >= owner.claim ? highest : owner,
            undefined,
        );
        this.peers.handleReportedOwner(latest?.member);
        this.replication.handleOwner(latest?.claim ?? 0);
        this.arrivalCheck.recordOwners(owners);
        this.ownership.handleOwners(owners);
    }

    private handleWorkers(announcements: readonly WorkerAnnouncement[]): void {
        for (const announcement of announcements) {
            if (this.workers.record(announcement)) {
                this.ownership.setWorker(announcement);
            }
        }
    }

    private handleDrainedZones(index: number, zones: readonly string[]): void {
        if (!this.drainedZones.apply(index, zones)) {
            return;
        }
        this.options.logger.info("drained zones received", {
            index,
            zones: zones.join(" "),
            isOwnDrained: this.drainedZones.isDrained(this.self.zone),
        });
        this.ownership.handleDrainedZones(this.drainedZones);
        this.election.update();
    }

    private applyConfiguration(index: number, envelope: string): void {
        if (this.configurationHolder.apply(BigInt(index), Buffer.from(envelope))) {
            this.configuredAt ??= this.options.environment.clock.now();
            this.queues = new QueueTable(this.configurationHolder.configuration?.manifest.queues ?? []);
            this.peers.announceState();
            this.election.update();
        }
    }
}
