/** Many members in one process: listeners, membership and configuration over loopback sockets, without requests. */

import {
    defineBaseServices,
    defineControlServices,
    definePeerServices,
    loadSettings,
    membershipToken,
    newSystemEnvironment,
    peerServerToken,
} from "@anvilmux/anvilmux";
import { Kernel } from "@anvilmux/kernel";
import { newSigningKeyPair } from "@anvilmux/manifest";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";

const membersPerZone = 8;
const settleMs = 3_500;

export interface ControlPlaneCost {
    readonly members: number;
    readonly processorPercent: number;
    readonly bytesPerSecond: number;
    readonly heapKibibytes: number;
}

/** What one member costs, on average, in a deployment of `members`. */
export const measureControlPlane = async (members: number, durationMs: number): Promise<ControlPlaneCost> => {
    const folder = mkdtempSync(join(tmpdir(), "anvilmux-members-"));
    writeFileSync(join(folder, "key.pem"), newSigningKeyPair().publicKeyPem);
    const heapBefore = getHeap();
    const kernels: Kernel[] = [];
    let seed = "";
    for (let number = 0; number < members; number++) {
        const kernel = newMember(number, seed, join(folder, "key.pem"));
        await kernel.start();
        const { address } = kernel.get(peerServerToken);
        seed ||= address;
        kernel.get(membershipToken).publishSelf({
            zone: `zone-${Math.floor(number / membersPerZone)}`,
            peerAddress: address,
            publicAddress: address,
            entry: true,
            control: false,
            state: "ready",
            configurationIndex: 0,
        });
        kernels.push(kernel);
    }
    await pause(settleMs);
    const getBytes = () => kernels.reduce((sum, kernel) => sum + kernel.get(peerServerToken).getByteCount(), 0);
    const bytesBefore = getBytes();
    const processorBefore = process.cpuUsage();
    const startedAt = performance.now();
    await pause(durationMs);
    const processor = process.cpuUsage(processorBefore);
    const elapsed = performance.now() - startedAt;
    // A byte is received by one member and sent by another, so each counts for two members.
    const bytesPerSecond = 2 * (getBytes() - bytesBefore) / elapsed * 1_000 / members;
    const heapKibibytes = (getHeap() - heapBefore) / 1_024 / members;
    await Promise.all(kernels.map(kernel => kernel.stop()));
    rmSync(folder, { recursive: true, force: true });
    return {
        members,
        processorPercent: (processor.user + processor.system) / 1_000 / elapsed / members * 100,
        bytesPerSecond,
        heapKibibytes,
    };
};

const newMember = (number: number, seed: string, keyFile: string): Kernel => {
    const { settings } = loadSettings({
        "instance-id": `member-${number}`,
        "zone": `zone-${Math.floor(number / membersPerZone)}`,
        "peer-port": "0",
        "public-port": "0",
        "seeds": seed,
        "development": "true",
        "trusted-keys": `key=${keyFile}`,
        "log-level": "error",
    }, {});
    const environment = newSystemEnvironment();
    const kernel = new Kernel();
    defineBaseServices(kernel, settings, environment);
    definePeerServices(kernel, settings, environment);
    defineControlServices(kernel, settings, environment);
    return kernel;
};

const getHeap = (): number => {
    (globalThis as { readonly gc?: () => void; }).gc?.();
    return process.memoryUsage().heapUsed;
};

const pause = (milliseconds: number): Promise<void> => new Promise(resolve => setTimeout(resolve, milliseconds));
