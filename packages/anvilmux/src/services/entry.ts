/** Services of an entry: slots, calls, tasks, jobs, the public server and the lifecycle. */

import type { Unsubscribe } from "@anvilmux/common";
import {
    JobManager,
    newRandomPlacement,
    newRoundRobinPlacement,
    placeByFreeProcessors,
    settlingMs,
    TaskPool,
} from "@anvilmux/jobs";
import type { PlacementName, TaskPoolOptions } from "@anvilmux/jobs";
import type { Kernel } from "@anvilmux/kernel";
import { CallHandler } from "@anvilmux/routing";
import type { ClaimStore } from "@anvilmux/routing";
import { PublicServer, publicServerToken } from "../http/PublicServer";
import { Lifecycle } from "../Lifecycle";
import type { Settings } from "../settings";
import { SlotDirectory } from "../SlotDirectory";
import {
    callsToken,
    clockToken,
    configurationToken,
    controlClientToken,
    decisionsToken,
    intakeToken,
    jobsToken,
    lifecycleToken,
    loadReportToken,
    loggerToken,
    membershipToken,
    metricsToken,
    networkToken,
    ownershipToken,
    peerServerToken,
    randomToken,
    slotsToken,
    taskPoolToken,
    timersToken,
    tracingToken,
    upstreamsToken,
    workersToken,
    zoneViewToken,
} from "../tokens";
import { loadRecordKey } from "../ZoneView";

export const defineEntryServices = (kernel: Kernel, settings: Settings): void => {
    kernel
        .define({
            token: slotsToken,
            requires: [configurationToken, membershipToken, upstreamsToken, zoneViewToken, networkToken, metricsToken],
            start: () => startSlots(kernel, settings),
            stop: slots => slots.stop(),
        })
        .define({
            token: callsToken,
            requires: [slotsToken, controlClientToken, decisionsToken],
            start: () =>
                new CallHandler({
                    instanceId: settings["instance-id"],
                    clock: kernel.get(clockToken),
                    metrics: kernel.get(metricsToken),
                    decisions: kernel.get(decisionsToken),
                    claims: newClaimStore(kernel),
                    connections: kernel.get(slotsToken).connections,
                    getSlots: service => kernel.get(slotsToken).get(service),
                }),
        })
        .define({
            token: taskPoolToken,
            requires: [workersToken, zoneViewToken, configurationToken, decisionsToken, metricsToken],
            start: () => startTaskPool(kernel, settings),
            stop: pool => pool.stop(),
        })
        .define({
            token: ownershipToken,
            requires: [taskPoolToken, zoneViewToken, timersToken],
            start: () => startOwnership(kernel, settings),
            stop: unsubscribe => unsubscribe(),
        })
        .define({
            token: loadReportToken,
            requires: [slotsToken, membershipToken, timersToken],
            start: () => startLoadReport(kernel),
            stop: unsubscribe => unsubscribe(),
        })
        .define({
            token: jobsToken,
            requires: [taskPoolToken, networkToken],
            start: () => startJobs(kernel, settings),
            stop: jobs => jobs.stop(),
        })
        .define({
            token: publicServerToken,
            requires: [callsToken, jobsToken, tracingToken, metricsToken, intakeToken],
            start: () => PublicServer.listen(kernel, settings),
            stop: server => server.close(),
        })
        .define({
            token: lifecycleToken,
            requires: [publicServerToken, slotsToken, jobsToken, callsToken, configurationToken],
            start: () => startLifecycle(kernel, settings),
            stop: lifecycle => lifecycle.stop(),
        });
};

const loadPeriodMs = 1_000;

const startSlots = (kernel: Kernel, settings: Settings): SlotDirectory => {
    const slots = new SlotDirectory({
        instanceId: settings["instance-id"],
        zone: settings.zone,
        strategy: settings["slot-strategy"],
        clock: kernel.get(clockToken),
        timers: kernel.get(timersToken),
        random: kernel.get(randomToken),
        logger: kernel.get(loggerToken),
        metrics: kernel.get(metricsToken),
        configuration: kernel.get(configurationToken),
        membership: kernel.get(membershipToken),
        upstreams: kernel.get(upstreamsToken),
        zoneView: kernel.get(zoneViewToken),
        network: kernel.get(networkToken),
    });
    slots.start();
    return slots;
};

const newClaimStore = (kernel: Kernel): ClaimStore => {
    const client = kernel.get(controlClientToken);
    return {
        claim: (key, digest, holder, retention) => client.claim(key, digest, holder, retention),
        record: (key, holder, answer) => client.record(key, holder, answer),
        release: (key, holder) => client.release(key, holder),
    };
};

const ownershipPeriodMs = 250;

/** The placement policy of tasks: the default, or a baseline for benches to compare it with. */
const getPlacement = (name: PlacementName, kernel: Kernel): Pick<TaskPoolOptions, "place" | "protectsShortTasks"> => {
    switch (name) {
        case "free-processors":
            return { place: placeByFreeProcessors, protectsShortTasks: true };
        case "random":
            return { place: newRandomPlacement(kernel.get(randomToken)), protectsShortTasks: false };
        case "round-robin":
            return { place: newRoundRobinPlacement(), protectsShortTasks: false };
        case "single-fifo":
            return { place: placeByFreeProcessors, protectsShortTasks: false };
    }
};

const startTaskPool = (kernel: Kernel, settings: Settings): TaskPool => {
    const configuration = kernel.get(configurationToken);
    const pool = new TaskPool({
        ownerId: settings["instance-id"],
        clock: kernel.get(clockToken),
        timers: kernel.get(timersToken),
        random: kernel.get(randomToken),
        logger: kernel.get(loggerToken),
        metrics: kernel.get(metricsToken),
        decisions: kernel.get(decisionsToken),
        ...getPlacement(settings.placement, kernel),
        getTeamProcessors: team =>
            configuration.configuration?.manifest.teams.find(item => item.name === team)?.processors ?? Infinity,
    });
    return pool;
};

/** Periodically assigns the workers that this instance owns to the task pool. */
const startOwnership = (kernel: Kernel, settings: Settings): Unsubscribe =>
    kernel.get(timersToken).every(ownershipPeriodMs, () => {
        const owners = kernel.get(zoneViewToken).getWorkerOwners();
        const own = owners.find(owner => owner.instanceId === settings["instance-id"]);
        kernel.get(taskPoolToken).setWorkers(own?.workers ?? []);
    });

/** Periodically publishes, for the other zones, the free slots of services that this instance is the steward of. */
const startLoadReport = (kernel: Kernel): Unsubscribe =>
    kernel.get(timersToken).every(loadPeriodMs, () => {
        const freeSlots = kernel.get(slotsToken).getFreeSlots();
        kernel.get(membershipToken).publish(loadRecordKey, freeSlots, false, false);
    });

const startJobs = (kernel: Kernel, settings: Settings): JobManager => {
    const clock = kernel.get(clockToken);
    const startedAt = clock.now();
    return new JobManager({
        instanceId: settings["instance-id"],
        clock,
        timers: kernel.get(timersToken),
        logger: kernel.get(loggerToken),
        metrics: kernel.get(metricsToken),
        decisions: kernel.get(decisionsToken),
        pool: kernel.get(taskPoolToken),
        getManifest: () => kernel.get(configurationToken).configuration?.manifest,
        getOwners: () => kernel.get(zoneViewToken).getWorkerOwners(),
        connect: address => kernel.get(networkToken).peer(address),
        isSettled: () => clock.now() - startedAt > settlingMs,
    });
};

const startLifecycle = (kernel: Kernel, settings: Settings): Lifecycle => {
    const configuration = kernel.get(configurationToken);
    const lifecycle = new Lifecycle({
        clock: kernel.get(clockToken),
        timers: kernel.get(timersToken),
        logger: kernel.get(loggerToken),
        membership: kernel.get(membershipToken),
        readinessLag: settings["readiness-lag-ms"],
        getRecord: () => ({
            zone: settings.zone,
            peerAddress: kernel.get(peerServerToken).address,
            publicAddress: kernel.get(publicServerToken).address,
            entry: true,
            control: settings["data-folder"] !== "",
            configurationIndex: configuration.index,
        }),
        getObstacle: () => getObstacle(configuration.index, configuration.highestKnownIndex),
        getOpenWork: () => kernel.get(callsToken).callsInFlight + kernel.get(jobsToken).runningJobs,
    });
    lifecycle.start();
    return lifecycle;
};

const getObstacle = (index: number, highestKnownIndex: number): string | undefined => {
    if (index === 0) {
        return "no configuration is in force here yet";
    }
    return index < highestKnownIndex ? `configuration ${index} is in force, ${highestKnownIndex} is known` : undefined;
};
