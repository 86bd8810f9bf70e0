/** Services of the control state: the active configuration, the control client and, with a data folder, the replica. */

import { toAddress, toZoneId } from "@anvilmux/common";
import type { Address } from "@anvilmux/common";
import {
    ConfigurationHolder,
    consensusCallTimeoutMs,
    ControlClient,
    ControlService,
    ControlState,
    describeVoters,
    earlyCampaigns,
    getVoters,
    maximumEntriesPerAppend,
    Replica,
    ReplicaStorage,
    standardRules,
} from "@anvilmux/control";
import type { Kernel } from "@anvilmux/kernel";
import type { Environment } from "../environment";
import { KnownZones } from "../KnownZones";
import type { Settings } from "../settings";
import {
    authorityToken,
    clockToken,
    configurationToken,
    controlClientToken,
    controlToken,
    knownZonesToken,
    loggerToken,
    membershipToken,
    metricsToken,
    networkToken,
    peerServerToken,
    randomToken,
    timersToken,
    zoneViewToken,
} from "../tokens";
import { replicaRecordKey } from "../ZoneView";

const fetchTimeoutMs = 2_000;

export const defineControlServices = (kernel: Kernel, settings: Settings, environment: Environment): void => {
    kernel
        .define({
            token: configurationToken,
            requires: [zoneViewToken, networkToken, timersToken, loggerToken, metricsToken, authorityToken],
            start: () => startConfiguration(kernel),
            stop: holder => holder.stop(),
        })
        .define({
            token: knownZonesToken,
            requires: [membershipToken, clockToken],
            start: () => startKnownZones(kernel),
        })
        .define({
            token: controlClientToken,
            requires: [zoneViewToken, networkToken, clockToken, timersToken, metricsToken],
            start: () =>
                new ControlClient({
                    getControlAddresses: () => kernel.get(zoneViewToken).getControlAddresses(),
                    getKnownLeader: () => getKnownLeader(kernel),
                    connect: address => kernel.get(networkToken).consensus(address),
                    clock: kernel.get(clockToken),
                    timers: kernel.get(timersToken),
                    onMessage: () =>
                        kernel.get(metricsToken).count("anvilmux_own_messages_total", { kind: "proposal" }),
                }),
        });
    if (settings["data-folder"] !== "") {
        kernel.define({
            token: controlToken,
            requires: [configurationToken, peerServerToken, membershipToken, metricsToken, randomToken],
            start: () => startControl(kernel, settings, environment),
            stop: control => control.stop(),
        });
    }
};

const startConfiguration = (kernel: Kernel): ConfigurationHolder => {
    const holder = new ConfigurationHolder({
        authority: kernel.get(authorityToken),
        timers: kernel.get(timersToken),
        logger: kernel.get(loggerToken),
        getPeers: () => kernel.get(zoneViewToken).getConfigurationPeers(),
        fetch: (address, knownIndex) =>
            kernel.get(networkToken).peer(address).fetchConfiguration({ knownIndex }, { timeoutMs: fetchTimeoutMs }),
    });
    holder.start();
    kernel.get(metricsToken).gauge("anvilmux_configuration_index", {}, () => holder.index);
    return holder;
};

/** Records the zones of all members, this instance included, as they are heard. */
const startKnownZones = (kernel: Kernel): KnownZones => {
    const zones = new KnownZones(kernel.get(clockToken));
    const membership = kernel.get(membershipToken);
    const record = () => {
        for (const member of membership.getMembers()) {
            const zone = toZoneId(member.zone);
            if (member.entry) {
                zones.recordEntry(zone);
            }
            else {
                zones.recordZone(zone);
            }
        }
    };
    membership.events.on("changed", record);
    record();
    return zones;
};

const startControl = async (kernel: Kernel, settings: Settings, environment: Environment): Promise<ControlService> => {
    const files = environment.openFolder(settings["data-folder"]);
    const storage = await ReplicaStorage.open(files, settings["instance-id"]);
    const state = new ControlState(kernel.get(authorityToken));
    const configuration = kernel.get(configurationToken);
    const network = kernel.get(networkToken);
    const selfAddress = kernel.get(peerServerToken).address;
    const applyAcceptedManifest = () => {
        const accepted = state.manifest;
        if (accepted) {
            configuration.apply(accepted.index, accepted.envelope);
        }
    };
    const replica = new Replica(storage, state, {
        connect: member => {
            const client = network.consensus(toAddress(member.address));
            const options = { timeoutMs: consensusCallTimeoutMs };
            return {
                requestVote: request => client.requestVote(request, options),
                appendEntries: request => client.appendEntries(request, options),
                installSnapshot: chunk => client.installSnapshot(chunk, options),
            };
        },
        clock: kernel.get(clockToken),
        timers: kernel.get(timersToken),
        random: kernel.get(randomToken),
        logger: kernel.get(loggerToken),
        rules: standardRules,
        maximumEntriesPerAppend,
        earlyCampaigns,
    }, applyAcceptedManifest);
    applyAcceptedManifest();
    const { drainedZones } = state;
    drainedZones.events.on("changed", ({ index }) => {
        kernel.get(loggerToken).info("drained zones changed", {
            index: Number(index),
            zones: drainedZones.getZones().join(" "),
        });
    });
    const control = new ControlService({
        replica,
        selfAddress,
        initialAddresses: getInitialAddresses(settings, selfAddress),
        connect: address => network.consensus(address),
        authority: kernel.get(authorityToken),
        clock: kernel.get(clockToken),
        timers: kernel.get(timersToken),
        logger: kernel.get(loggerToken),
        getAnnouncedReplicas: () => kernel.get(zoneViewToken).getAnnouncedReplicas(),
    });
    kernel.get(membershipToken).publish(replicaRecordKey, { memberId: replica.memberId, address: selfAddress }, false);
    control.start();
    reportReplica(kernel, replica);
    return control;
};

/** Publishes the replica's metrics and logs the state in which it starts. */
const reportReplica = (kernel: Kernel, replica: Replica): void => {
    const metrics = kernel.get(metricsToken);
    metrics.gauge("anvilmux_control_leading", {}, () => replica.role === "leader" ? 1 : 0);
    metrics.gauge("anvilmux_control_voters", {}, () => getVoters(replica.group).length);
    metrics.gauge(
        "anvilmux_control_reachable_voters",
        {},
        () => replica.getProgress().filter(progress => progress.voter && progress.reachable).length,
    );
    kernel.get(loggerToken).info("control replica opened", {
        memberId: replica.memberId,
        term: Number(replica.currentTerm),
        voters: describeVoters(replica.group),
    });
};

/** The instances that form the initial control group; none when this instance may only join an existing group. */
const getInitialAddresses = (settings: Settings, selfAddress: Address): readonly Address[] => {
    if (!settings["form-group"]) {
        return [];
    }
    return settings["control-peers"].length > 0 ? settings["control-peers"] : [selfAddress];
};

/** The leader known to the replica of this instance, if it has one. */
const getKnownLeader = (kernel: Kernel): Address | undefined => {
    const replica = kernel.find(controlToken)?.replica;
    const leader = replica?.group.members.find(member => member.memberId === replica.leader);
    return leader && toAddress(leader.address);
};
