/** The deployment state known to one instance, and whether a majority of the control group confirms it. */

import { getErrorMessage } from "@anvilmux/common";
import type { Kernel } from "@anvilmux/kernel";
import {
    configurationToken,
    controlClientToken,
    lifecycleToken,
    membershipToken,
    settingsToken,
    slotsToken,
    taskPoolToken,
    upstreamsToken,
    workersToken,
} from "./tokens";

export interface InstanceStatus {
    readonly id: string;
    readonly zone: string;
    readonly state: string;
    readonly liveness: string;
    readonly configurationIndex: number;
}

export interface ReplicaStatus {
    readonly memberId: string;
    readonly address: string;
    readonly voter: boolean;
    readonly matchIndex: number;
    readonly reachable: boolean;
}

/** The status document, which `anvilmux status` shows. */
export interface DeploymentStatus {
    readonly instance: string;
    readonly zone: string;
    readonly ready: boolean;
    readonly obstacle?: string;
    readonly configuration: {
        readonly index: number;
        readonly version: number;
        /** True when a majority of the control group confirmed that no newer configuration was accepted. */
        readonly confirmedByMajority: boolean;
        /** Instances that are not alive or whose active configuration is older than the newest known one. */
        readonly notConfirming: readonly string[];
    };
    readonly control: {
        readonly available: boolean;
        readonly reason?: string;
        readonly term?: number;
        readonly commitIndex?: number;
        readonly replicas: readonly ReplicaStatus[];
    };
    readonly instances: readonly InstanceStatus[];
    readonly services: readonly { readonly name: string; readonly steward: boolean; readonly freeSlots: number; }[];
    readonly upstreams: number;
    readonly workers: number;
    readonly waitingTasks: number;
    readonly runningTasks: number;
}

export const getStatus = async (kernel: Kernel): Promise<DeploymentStatus> => {
    const settings = kernel.get(settingsToken);
    const configuration = kernel.get(configurationToken);
    const lifecycle = kernel.get(lifecycleToken);
    const instances = getInstances(kernel);
    const control = await getControlStatus(kernel);
    const newestIndex = Math.max(configuration.highestKnownIndex, control.configurationIndex);
    const slots = kernel.get(slotsToken);
    return {
        instance: settings["instance-id"],
        zone: settings.zone,
        ready: lifecycle.isReady,
        obstacle: lifecycle.getObstacle(),
        configuration: {
            index: configuration.index,
            version: configuration.configuration?.manifest.version ?? 0,
            confirmedByMajority: control.status.available && control.configurationIndex === configuration.index,
            notConfirming: instances
                .filter(item => item.liveness !== "alive" || item.configurationIndex < newestIndex)
                .map(item => item.id),
        },
        control: control.status,
        instances,
        services: (configuration.configuration?.manifest.services ?? []).map(service => {
            const found = slots.find(service.name);
            return {
                name: service.name,
                steward: found?.isZoneSteward ?? false,
                freeSlots: found?.zoneScheduler.freeSlots ?? 0,
            };
        }),
        upstreams: kernel.get(upstreamsToken).getLive().length,
        workers: kernel.get(workersToken).getLive().length,
        waitingTasks: kernel.get(taskPoolToken).waiting,
        runningTasks: kernel.get(taskPoolToken).runningCount,
    };
};

const getInstances = (kernel: Kernel): readonly InstanceStatus[] =>
    kernel.get(membershipToken).getMembers()
        .map(({ id, zone, state, liveness, configurationIndex }) => ({ id, zone, state, liveness, configurationIndex }))
        .sort((left, right) => left.id < right.id ? -1 : 1);

interface ControlStatus {
    readonly status: DeploymentStatus["control"];
    readonly configurationIndex: number;
}

const getControlStatus = async (kernel: Kernel): Promise<ControlStatus> => {
    try {
        const group = await kernel.get(controlClientToken).readGroup();
        return {
            configurationIndex: Number(group.configurationIndex),
            status: {
                available: true,
                term: Number(group.term),
                commitIndex: Number(group.commitIndex),
                replicas: group.progress.map(({ memberId, address, voter, matchIndex, reachable }) => ({
                    memberId,
                    address,
                    voter,
                    matchIndex: Number(matchIndex),
                    reachable,
                })),
            },
        };
    }
    catch (error) {
        return {
            configurationIndex: 0,
            status: { available: false, reason: getErrorMessage(error), replicas: [] },
        };
    }
};
