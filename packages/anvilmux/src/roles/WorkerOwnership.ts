/**
 * What an entry has while it owns the workers of its zone: the scheduler, connections to the owners of other zones, and
 * calls to the workers, which other entries make for it.
 */

import { chooseBestFit, RelayedWorkers, TaskScheduler } from "@anvilmux/dispatch";
import type {
    Candidate,
    ConnectWorker,
    FreeCapacity,
    HoldMemory,
    OverloadSettings,
    WorkerAnnouncement,
} from "@anvilmux/dispatch";
import { DepartedWorkers, OwnerLinks } from "@anvilmux/fleet";
import type { DrainedZones, EntryMember, JobHandover, WorkerReplication, ZoneOwner, ZonePeers } from "@anvilmux/fleet";
import type { ChannelChecker } from "@anvilmux/links";
import type { Logger, Metrics } from "@anvilmux/telemetry";
import type { Environment } from "../environment";
import { CapacityReports } from "./CapacityReports";
import { OwnZoneDrain } from "./OwnZoneDrain";

export interface WorkerOwnershipOptions {
    readonly self: EntryMember;
    readonly checker: ChannelChecker;
    readonly peers: ZonePeers;
    readonly replication: WorkerReplication;
    readonly handover: JobHandover;
    readonly connectWorker: ConnectWorker;
    readonly getFencingToken: () => number;
    readonly getOverloadSettings: () => OverloadSettings;
    /** Called when a worker refused `fencingToken` because it had accepted a higher one. */
    readonly onFenced: (fencingToken: number) => void;
    /** Called when an entry has seen a higher claim than this one's. */
    readonly onOutranked: (claim: number) => void;
    /** Memory for jobs; unlimited when absent. */
    readonly holdMemory?: HoldMemory;
    readonly environment: Environment;
    readonly logger: Logger;
    readonly metrics: Metrics;
}

export class WorkerOwnership {
    readonly relayedWorkers: RelayedWorkers;
    private readonly departedWorkers: DepartedWorkers;
    private currentScheduler: TaskScheduler | undefined;
    private ownerLinks: OwnerLinks | undefined;
    private owners: readonly ZoneOwner[] = [];
    private readonly ownZoneDrain: OwnZoneDrain;
    private readonly capacityReports: CapacityReports;

    constructor(private readonly options: WorkerOwnershipOptions) {
        const { connectWorker, environment, logger, metrics, peers } = options;
        this.departedWorkers = new DepartedWorkers(environment.clock);
        this.ownZoneDrain = new OwnZoneDrain(environment.clock);
        this.capacityReports = new CapacityReports({
            clock: environment.clock,
            timers: environment.timers,
            getFreeCapacity: limit => this.currentScheduler?.getFreeCapacity(limit) ?? {},
            send: free => peers.announceFreeCapacity(free),
        });
        this.relayedWorkers = new RelayedWorkers({
            connect: connectWorker,
            getRelays: () => peers.getCandidates().filter(isReady).map(({ id }) => id),
            getRelayShare: relay => peers.getCandidates().find(({ id }) => id === relay)?.processorShare,
            send: (peerId, call) => peers.send(peerId, { type: "worker-call", ...call }),
            clock: environment.clock,
            timers: environment.timers,
            logger,
            metrics,
        });
    }

    /** Undefined while another entry owns the workers. */
    get scheduler(): TaskScheduler | undefined {
        return this.currentScheduler;
    }

    /** Begins to own the workers, or continues with a higher fencing token. `formerClaim`: highest claim seen before. */
    assume(workers: readonly WorkerAnnouncement[], formerClaim: number): void {
        const { replication, handover, getFencingToken, logger } = this.options;
        replication.begin(formerClaim, workers);
        handover.begin(getFencingToken());
        if (this.currentScheduler) {
            this.currentScheduler.handleTokenRaised();
            return;
        }
        logger.info("scheduler begins", { fencingToken: getFencingToken(), workers: workers.length });
        this.currentScheduler = this.newScheduler();
        this.ownerLinks = this.newOwnerLinks();
        this.ownerLinks.handleOwners(this.owners);
        workers.forEach(worker => this.currentScheduler?.setWorker(worker));
        this.departedWorkers.getAll().forEach(worker => this.currentScheduler?.addDepartedWorker(worker));
        this.ownZoneDrain.applyTo(this.currentScheduler);
    }

    /** Records a worker's latest announcement, and applies it while this entry owns the workers. */
    setWorker(announcement: WorkerAnnouncement): void {
        this.departedWorkers.record(announcement);
        this.options.replication.add(announcement);
        this.currentScheduler?.setWorker(announcement);
    }

    release(): void {
        this.options.replication.end();
        this.options.handover.end();
        this.currentScheduler?.stop();
        this.currentScheduler = undefined;
        this.ownerLinks?.stop();
        this.ownerLinks = undefined;
    }

    handleOwners(owners: readonly ZoneOwner[]): void {
        this.owners = owners;
        this.ownerLinks?.handleOwners(owners);
    }

    /** Applies the drained zones that control announced last. */
    handleDrainedZones(zones: DrainedZones): void {
        this.capacityReports.setAnyZoneDrained(zones.isAnyDrained);
        const isDrained = zones.isDrained(this.options.self.zone);
        if (this.ownZoneDrain.set(isDrained)) {
            this.currentScheduler?.setDrained(isDrained);
        }
    }

    /** Capacity that other zones are told of. */
    getFreeCapacity(): FreeCapacity {
        return this.capacityReports.getFreeCapacity();
    }

    stop(): void {
        this.capacityReports.stop();
        this.release();
    }

    private newScheduler(): TaskScheduler {
        const { replication, handover, environment, logger, metrics } = this.options;
        const { getFencingToken, getOverloadSettings, onFenced, onOutranked, holdMemory } = this.options;
        return new TaskScheduler({
            connect: this.relayedWorkers.connect,
            choose: chooseBestFit,
            isShared: id => replication.isShared(id),
            getUnknownWorkersUntil: () => replication.getUnknownUntil(),
            getHandover: () => handover.state,
            getRemoteSchedulers: () => this.ownerLinks?.getRemoteSchedulers() ?? [],
            getFencingToken,
            getOverloadSettings,
            holdMemory,
            onFenced,
            onOutranked,
            clock: environment.clock,
            timers: environment.timers,
            logger,
            metrics,
        });
    }

    private newOwnerLinks(): OwnerLinks {
        const { self, checker, environment, logger } = this.options;
        return new OwnerLinks({
            self,
            checker,
            environment: { ...environment, logger },
            onAnswer: (zone, id, answer, submission) =>
                this.currentScheduler?.handleRemoteAnswer(zone, id, answer, submission),
            hasRemoteTasks: () => this.currentScheduler?.hasCrossZoneTasks ?? false,
            onOwnerDisconnected: zone => this.currentScheduler?.handleRemoteDisconnected(zone),
        });
    }
}

const isReady = ({ fitness }: Candidate): boolean => fitness === "ready";
