/** Measures the cost of one member in a large deployment, spread over processes so that none saturates its core. */

import { spawn } from "node:child_process";
import { resolve } from "node:path";
import { createInterface } from "node:readline";
import type { MembersCost } from "./members";

const membersPerProcess = 20;
const settleMs = 4_000;

export interface ControlPlaneCost {
    readonly members: number;
    readonly processorPercent: number;
    readonly bytesPerSecond: number;
    readonly heapKibibytes: number;
    /** Largest share of a core that one of the processes used; the costs are unreliable when it is near 100. */
    readonly busiestProcessPercent: number;
}

interface MemberProcess {
    readonly firstAddress: string;
    readonly cost: Promise<MembersCost>;
}

const startProcess = async (
    count: number,
    offset: number,
    seedAddress: string,
    durationMs: number,
): Promise<MemberProcess> => {
    const program = resolve("dist/memberProcess.js");
    const values = [count, offset, seedAddress, settleMs, durationMs].map(String);
    const child = spawn(process.execPath, ["--expose-gc", program, ...values], {
        stdio: ["ignore", "pipe", "inherit"],
    });
    const lines = createInterface({ input: child.stdout })[Symbol.asyncIterator]();
    const first = await lines.next();
    return {
        firstAddress: String(first.value),
        cost: lines.next().then(line => JSON.parse(String(line.value)) as MembersCost),
    };
};

/** Mean cost of one member in a deployment of `members`. */
export const measureControlPlane = async (members: number, durationMs: number): Promise<ControlPlaneCost> => {
    const first = await startProcess(Math.min(members, membersPerProcess), 0, "", durationMs + settleMs / 2);
    const others: Promise<MemberProcess>[] = [];
    for (let offset = membersPerProcess; offset < members; offset += membersPerProcess) {
        const count = Math.min(membersPerProcess, members - offset);
        others.push(startProcess(count, offset, first.firstAddress, durationMs));
    }
    const processes = [first, ...await Promise.all(others)];
    const costs = await Promise.all(processes.map(item => item.cost));
    const sum = (read: (cost: MembersCost) => number) => costs.reduce((total, cost) => total + read(cost), 0);
    return {
        members,
        processorPercent: sum(cost => cost.processorMs / cost.elapsedMs) / members * 100,
        // A byte is received by one member and sent by another, so each counts for two members.
        bytesPerSecond: 2 * sum(cost => cost.bytes / cost.elapsedMs) * 1_000 / members,
        heapKibibytes: sum(cost => cost.heapBytes) / 1_024 / members,
        busiestProcessPercent: Math.max(...costs.map(cost => cost.processorMs / cost.elapsedMs * 100)),
    };
};
