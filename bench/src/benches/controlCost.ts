/** Processor, memory and network cost of the control plane per instance, for eight entries and by number of members. */

import { measureControlPlane } from "../controlPlane";
import { getProcessorMs, getResidentMebibytes } from "../processCost";
import { ProcessDeployment } from "../ProcessDeployment";
import { benchManifest, service, zones } from "../requestPath";
import { fitLine, round } from "../statistics";
import type { Bench } from "../types";

const memberCounts = [8, 20, 50, 100];
const memberMeasurementMs = 3_500;
const idleMs = 4_000;
const targetMemberCount = 19 * 8;

interface ProcessCost {
    readonly processorPercent: number;
    readonly bytesPerSecond: number;
    readonly residentMebibytes: number;
}

/** Highest processor time and memory of a process, and mean traffic, in an idle deployment of eight entries. */
const measureProcesses = async (): Promise<ProcessCost> => {
    const deployment = new ProcessDeployment({ zones, entries: [3, 3, 2], service });
    await deployment.start();
    await deployment.applyManifest(benchManifest(1));
    for (const zone of zones) {
        await deployment.addUpstreams(zone, 10, 8);
    }
    await new Promise(resolve => setTimeout(resolve, 3_000));
    const processIds = deployment.processes.map(item => item.child!.pid!);
    const bytes = () =>
        Promise.all(deployment.processes.map(item => deployment.getMetric(item.id, "anvilmux_peer_bytes_total")));
    const bytesBefore = await bytes();
    const before = processIds.map(getProcessorMs);
    await new Promise(resolve => setTimeout(resolve, idleMs));
    const used = processIds.map((id, position) => (getProcessorMs(id) - before[position]!) / idleMs * 100);
    const bytesAfter = await bytes();
    const received = bytesAfter.map((value, position) => (value - bytesBefore[position]!) / idleMs * 1_000);
    const cost = {
        processorPercent: Math.max(...used),
        bytesPerSecond: 2 * received.reduce((sum, value) => sum + value, 0) / received.length,
        residentMebibytes: Math.max(...processIds.map(getResidentMebibytes)),
    };
    await deployment.stop();
    return cost;
};

export const controlCost: Bench = {
    name: "control-cost",
    description: "processor, memory and network that control takes of a node",
    run: async () => {
        const processes = await measureProcesses();
        const costs = [];
        for (const members of memberCounts) {
            costs.push(await measureControlPlane(members, memberMeasurementMs));
        }
        const processor = fitLine(costs.map(cost => [cost.members, cost.processorPercent]));
        const bytes = fitLine(costs.map(cost => [cost.members, cost.bytesPerSecond]));
        const bySize = Object.fromEntries(costs.flatMap(cost => [
            [`processorPercentAt${cost.members}`, round(cost.processorPercent, 2)],
            [`bytesPerSecondAt${cost.members}`, round(cost.bytesPerSecond, 0)],
            [`heapKibibytesAt${cost.members}`, round(cost.heapKibibytes, 0)],
        ]));
        return {
            metrics: {
                processorPercent: round(processes.processorPercent, 2),
                bytesPerSecond: round(processes.bytesPerSecond, 0),
                residentMebibytes: round(processes.residentMebibytes, 0),
                ...bySize,
                bytesSlopePerMember: round(bytes.slope, 1),
                bytesResidual: round(bytes.residual, 0),
                bytesIntercept: round(bytes.intercept, 0),
                processorResidual: round(processor.residual, 2),
                busiestProcessPercent: round(Math.max(...costs.map(cost => cost.busiestProcessPercent)), 0),
                processorSlopePerMember: round(processor.slope, 4),
                bytesPerSecondAtTarget: round(bytes.intercept + bytes.slope * targetMemberCount, 0),
                processorPercentAtTarget: round(processor.intercept + processor.slope * targetMemberCount, 2),
            },
            baseline: {},
            targets: [
                { metric: "processorPercent", bound: "at-most", value: 1.1 },
                { metric: "residentMebibytes", bound: "at-most", value: 128 },
                { metric: "bytesPerSecond", bound: "at-most", value: 6_000 },
                { metric: "bytesPerSecondAtTarget", bound: "at-most", value: 6_000 },
                { metric: "processorPercentAtTarget", bound: "at-most", value: 1.1 },
            ],
        };
    },
};
