/** Runs cluster members in this process: listeners, membership and configuration over loopback, without requests. */

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

/** Cost of the members of one process during the measurement. */
export interface MembersCost {
    readonly processorMs: number;
    /** Bytes sent and received, summed over the members. */
    readonly bytes: number;
    /** Heap growth since before the members started. */
    readonly heapBytes: number;
    readonly elapsedMs: number;
}

export interface Members {
    readonly firstAddress: string;
    readonly measure: (settleMs: number, durationMs: number) => Promise<MembersCost>;
}

/** Starts members numbered from `offset` that join through `seedAddress`, or through the first one when it is empty. */
export const startMembers = async (count: number, offset: number, seedAddress: string): Promise<Members> => {
    const folder = mkdtempSync(join(tmpdir(), "anvilmux-members-"));
    writeFileSync(join(folder, "key.pem"), newSigningKeyPair().publicKeyPem);
    const heapBefore = getHeapBytes();
    const kernels: Kernel[] = [];
    let contactAddress = seedAddress;
    for (let number = offset; number < offset + count; number++) {
        const kernel = newMember(number, contactAddress, join(folder, "key.pem"));
        await kernel.start();
        const { address } = kernel.get(peerServerToken);
        contactAddress ||= address;
        kernel.get(membershipToken).publishSelf({
            zone: getZone(number),
            peerAddress: address,
            publicAddress: address,
            entry: true,
            control: false,
            state: "ready",
            configurationIndex: 0,
        });
        kernels.push(kernel);
    }
    const getBytes = () => kernels.reduce((sum, kernel) => sum + kernel.get(peerServerToken).getByteCount(), 0);
    return {
        firstAddress: kernels[0]!.get(peerServerToken).address,
        measure: async (settleMs, durationMs) => {
            await pause(settleMs);
            const bytesBefore = getBytes();
            const processorBefore = process.cpuUsage();
            const startedAt = performance.now();
            await pause(durationMs);
            const processor = process.cpuUsage(processorBefore);
            const cost = {
                processorMs: (processor.user + processor.system) / 1_000,
                bytes: getBytes() - bytesBefore,
                heapBytes: getHeapBytes() - heapBefore,
                elapsedMs: performance.now() - startedAt,
            };
            rmSync(folder, { recursive: true, force: true });
            return cost;
        },
    };
};

const getZone = (number: number): string => `zone-${Math.floor(number / membersPerZone)}`;

const newMember = (number: number, seedAddress: string, keyFile: string): Kernel => {
    const { settings } = loadSettings({
        "instance-id": `member-${number}`,
        "zone": getZone(number),
        "peer-port": "0",
        "public-port": "0",
        "seeds": seedAddress,
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

const getHeapBytes = (): number => {
    (globalThis as { readonly gc?: () => void; }).gc?.();
    return process.memoryUsage().heapUsed;
};

const pause = (milliseconds: number): Promise<void> => new Promise(resolve => setTimeout(resolve, milliseconds));
