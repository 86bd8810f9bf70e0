/** Runs some entries of a zone, or its control instances, for the bench `connected`; they have no jobs and no workers. */

import { DispatchEntry, newSystemEnvironment } from "@anvilmux/anvilmux";
import { toAddress, toInstanceId, toZoneId } from "@anvilmux/common";
import type { Address } from "@anvilmux/common";
import { ControlHub } from "@anvilmux/fleet";
import { ChannelChecker } from "@anvilmux/links";
import { decideByHighestVersion, parseManifest } from "@anvilmux/manifest";
import type { ManifestAuthority, ParsedManifest } from "@anvilmux/manifest";
import { findFreePort } from "@anvilmux/stand-ins";
import { getProcessorTime, Metrics, newSilentLogger } from "@anvilmux/telemetry";
import { readdirSync, readFileSync, readlinkSync } from "node:fs";
import type {
    ConnectedControlArguments,
    ConnectedCost,
    ConnectedEntriesArguments,
    FromConnected,
    ToConnected,
} from "./connectedMessages";
import { getResidentMebibytes } from "./processCost";

const manifestText = JSON.stringify({
    format: 1,
    version: 1,
    queues: [{ name: "q", host: "h", pathPrefix: "/", service: "s", timeoutMs: 5_000 }],
});
const ownerPollMs = 5;
const microsecondsPerMillisecond = 1_000;

const read = (text: string): ParsedManifest => ({ manifest: parseManifest(text), digest: text });
const authority: ManifestAuthority = {
    verify: read,
    verifyReceived: read,
    read,
    decideUpdate: decideByHighestVersion,
};

const environment = newSystemEnvironment();
const logger = newSilentLogger();

/** Runs until the process that started this one disconnects or ends. */
export const runConnectedControl = async (text: string): Promise<void> => {
    const { count } = JSON.parse(text) as ConnectedControlArguments;
    const addresses: Address[] = [];
    for (let number = 0; number < count; number++) {
        addresses.push(await startHub(() => addresses));
    }
    answerMessages(() => undefined);
    tell({ type: "listening", addresses });
};

/** Runs until the process that started this one disconnects or ends. */
export const runConnectedEntries = async (text: string): Promise<void> => {
    const { first, count, control } = JSON.parse(text) as ConnectedEntriesArguments;
    const numbers = Array.from({ length: count }, (_, index) => first + index);
    const entries = await Promise.all(numbers.map(number => startEntry(number, control)));
    answerMessages(() => findCommonOwner(entries));
    tell({ type: "listening", addresses: [] });
};

const startHub = async (getControlAddresses: () => readonly Address[]): Promise<Address> => {
    const port = await findFreePort();
    const hub = new ControlHub({
        host: "127.0.0.1",
        port,
        checker: new ChannelChecker(environment.clock, environment.timers, () => undefined),
        environment: { ...environment, logger },
        metrics: new Metrics(),
        configuration: { getIndex: () => 1, getEnvelope: () => manifestText },
        getControlAddresses,
    });
    await hub.start();
    return toAddress(`127.0.0.1:${port}`);
};

const startEntry = async (number: number, controlSeeds: readonly Address[]): Promise<DispatchEntry> => {
    const entry = new DispatchEntry({
        instanceId: toInstanceId(`entry-${String(number).padStart(3, "0")}`),
        zone: toZoneId("zone"),
        host: "127.0.0.1",
        linkPort: await findFreePort(),
        controlSeeds,
        authority,
        connectWorker: () => {
            throw new Error("there are no workers");
        },
        environment,
        logger,
        metrics: new Metrics(),
    });
    await entry.start();
    return entry;
};

const findCommonOwner = (entries: readonly DispatchEntry[]): string | undefined => {
    const owner = entries[0]?.ownerId;
    return entries.every(entry => entry.ownerId === owner) ? owner : undefined;
};

const answerMessages = (getOwner: () => string | undefined): void => {
    let last = takeUsage();
    process.on("disconnect", () => process.exit(0));
    process.on("message", (message: ToConnected) => {
        if (message.type === "await-owner") {
            void awaitOwner(getOwner, message.formerOwner);
            return;
        }
        const now = takeUsage();
        tell({ type: "cost", cost: getCost(last, now) });
        last = now;
    });
};

const awaitOwner = async (getOwner: () => string | undefined, formerOwner: string | undefined): Promise<void> => {
    for (;;) {
        const owner = getOwner();
        if (owner !== undefined && owner !== formerOwner) {
            tell({ type: "owner", owner, at: Date.now() });
            return;
        }
        await new Promise(resolve => setTimeout(resolve, ownerPollMs));
    }
};

interface Usage {
    readonly at: number;
    readonly processorMs: number;
    readonly bytesWritten: number;
}

const takeUsage = (): Usage => ({
    at: performance.now(),
    processorMs: getProcessorTime() / microsecondsPerMillisecond,
    bytesWritten: Number(/wchar: (\d+)/.exec(readFileSync("/proc/self/io", "utf8"))?.[1] ?? 0),
});

const getCost = (before: Usage, after: Usage): ConnectedCost => ({
    elapsedMs: after.at - before.at,
    processorMs: after.processorMs - before.processorMs,
    bytesWritten: after.bytesWritten - before.bytesWritten,
    openConnections: countSockets(),
    residentMebibytes: getResidentMebibytes(process.pid),
});

const countSockets = (): number =>
    readdirSync("/proc/self/fd").filter(descriptor => {
        try {
            return readlinkSync(`/proc/self/fd/${descriptor}`).startsWith("socket:");
        }
        catch {
            // The descriptor of the listing itself is closed by now.
            return false;
        }
    }).length;

const tell = (message: FromConnected): void => void process.send?.(message);
