/**
 * Cost of an entry that is connected and has nothing to do, by the number of entries in its zone, and the time until
 * the other entries agree on the next owner of the zone's workers after the owner was killed or stopped.
 */

import type { Address, Milliseconds } from "@anvilmux/common";
import type { ChildProcess } from "node:child_process";
import { receiveMessage, startProcess, stopProcess } from "../childProcesses";
import type {
    ConnectedControlArguments,
    ConnectedCost,
    ConnectedEntriesArguments,
    FromConnected,
    ToConnected,
} from "../connectedMessages";
import { round } from "../statistics";
import type { Bench, Metrics } from "../types";

const zoneSizes = [8, 20, 40, 80] as const;
const controlInstances = 5;
const entriesPerProcess = 8;
/** As in the deployment: without collections that only shrink the heap of an idle process. */
const nodeOptions = ["--no-memory-reducer"];
const settleMs: Milliseconds = 15_000;
const measuredMs: Milliseconds = 8_000;
/** Time after which a zone that has not agreed on an owner is given up. */
const agreementTimeoutMs: Milliseconds = 20_000;

interface ZoneProcesses {
    readonly control: ChildProcess;
    /** The first two and the last run one entry each: the first owner of the workers, the next one and an ordinary one. */
    readonly entries: readonly ChildProcess[];
}

export const connected: Bench = {
    name: "connected",
    description: "cost of being connected by entries in a zone, and time to replace the owner of its workers",
    run: async () => {
        let metrics: Metrics = {};
        for (const size of zoneSizes) {
            metrics = { ...metrics, ...await measureZone(size) };
        }
        const first = zoneSizes[0];
        const growth = zoneSizes.map(size =>
            metrics[`processorPercentAt${size}`]! / metrics[`processorPercentAt${first}`]!
        );
        const largest = (name: string) => Math.max(...zoneSizes.map(size => metrics[`${name}At${size}`]!));
        return {
            metrics: {
                ...metrics,
                growth: round(Math.max(...growth)),
                processorPercent: largest("processorPercent"),
                bytesPerSecond: largest("bytesPerSecond"),
                residentMebibytes: largest("residentMebibytes"),
                takeoverMs: Math.max(largest("killedOwnerMs"), largest("stoppedOwnerMs")),
            },
            baseline: {},
            targets: [
                { metric: "growth", bound: "at-most", value: 1.1 },
                { metric: "processorPercent", bound: "at-most", value: 1.1 },
                { metric: "bytesPerSecond", bound: "at-most", value: 6_000 },
                { metric: "residentMebibytes", bound: "at-most", value: 128 },
                { metric: "takeoverMs", bound: "at-most", value: 1_000 },
            ],
        };
    },
};

const measureZone = async (size: number): Promise<Metrics> => {
    const zone = await startZone(size);
    const firstOwner = await awaitOwner(zone.entries, undefined);
    if (!firstOwner) {
        await Promise.all([zone.control, ...zone.entries].map(stopProcess));
        return {};
    }
    const startUp = await Promise.all(zone.entries.map(child => takeCost(child)));
    await pause(settleMs);
    const [owner, ...others] = zone.entries as [ChildProcess, ...ChildProcess[]];
    await Promise.all([zone.control, ...zone.entries].map(child => takeCost(child)));
    await pause(measuredMs);
    const [controlCost, ownerCost, ...costs] = await Promise.all(
        [zone.control, owner, ...others].map(child => takeCost(child)),
    );
    const stopped = await measureTakeover(owner, others, firstOwner.owner, "SIGSTOP");
    owner.kill("SIGKILL");
    const [next, ...rest] = others as [ChildProcess, ...ChildProcess[]];
    const killed = await measureTakeover(next, rest, stopped.owner, "SIGKILL");
    await Promise.all([zone.control, ...rest].map(stopProcess));
    const all = [ownerCost!, ...costs];
    const ordinary = costs.at(-1)!;
    return {
        [`startUpMsAt${size}`]: round(sum(startUp, cost => cost.processorMs) / size, 0),
        [`processorPercentAt${size}`]: round(getShare([ordinary]), 2),
        [`meanPercentAt${size}`]: round(getShare(all) / size, 3),
        [`ownerPercentAt${size}`]: round(getShare([ownerCost!]), 2),
        [`controlPercentAt${size}`]: round(getShare([controlCost!]) / controlInstances, 2),
        [`bytesPerSecondAt${size}`]: round(getBytesPerSecond(ordinary), 0),
        [`ownerBytesPerSecondAt${size}`]: round(getBytesPerSecond(ownerCost!), 0),
        [`connectionsAt${size}`]: ordinary.openConnections,
        [`residentMebibytesAt${size}`]: round(ownerCost!.residentMebibytes, 0),
        [`stoppedOwnerMsAt${size}`]: stopped.elapsedMs,
        [`killedOwnerMsAt${size}`]: killed.elapsedMs,
    };
};

const startZone = async (size: number): Promise<ZoneProcesses> => {
    const control = startProcess(
        "connected-control",
        { count: controlInstances } satisfies ConnectedControlArguments,
        nodeOptions,
    );
    const { addresses } = await receiveMessage<FromConnected, "listening">(control, "listening");
    const firsts = [
        0,
        1,
        ...Array.from(
            { length: Math.ceil((size - 3) / entriesPerProcess) },
            (_, index) => 2 + index * entriesPerProcess,
        ),
        size - 1,
    ];
    const startNumber = (index: number) =>
        startEntries(firsts[index]!, (firsts[index + 1] ?? size) - firsts[index]!, addresses);
    const first = await startNumber(0);
    await awaitOwner([first], undefined);
    const others = await Promise.all(firsts.slice(1).map((_, index) => startNumber(index + 1)));
    const entries = [first, ...others];
    return { control, entries };
};

const startEntries = async (
    first: number,
    count: number,
    control: readonly Address[],
): Promise<ChildProcess> => {
    const child = startProcess(
        "connected-entries",
        { first, count, control } satisfies ConnectedEntriesArguments,
        nodeOptions,
    );
    await receiveMessage<FromConnected, "listening">(child, "listening");
    return child;
};

/** Time from the signal to the owner until all other entries know the next one. */
const measureTakeover = async (
    owner: ChildProcess,
    others: readonly ChildProcess[],
    formerOwner: string | undefined,
    signal: NodeJS.Signals,
): Promise<{ readonly owner: string | undefined; readonly elapsedMs: Milliseconds; }> => {
    const signalledAt = Date.now();
    owner.kill(signal);
    const next = await awaitOwner(others, formerOwner);
    return { owner: next?.owner, elapsedMs: next ? next.at - signalledAt : Number.NaN };
};

/** The owner that all entries of the processes know, other than `formerOwner`; undefined when they don't agree in time. */
const awaitOwner = async (
    processes: readonly ChildProcess[],
    formerOwner: string | undefined,
): Promise<{ readonly owner: string; readonly at: number; } | undefined> => {
    const agreed = Promise.all(processes.map(child => {
        const known = receiveMessage<FromConnected, "owner">(child, "owner");
        child.send({ type: "await-owner", formerOwner } satisfies ToConnected);
        return known;
    }));
    const owners = await Promise.race([agreed, pause(agreementTimeoutMs).then(() => undefined)]);
    return owners && { owner: owners[0]!.owner, at: Math.max(...owners.map(({ at }) => at)) };
};

const takeCost = async (child: ChildProcess): Promise<ConnectedCost> => {
    const report = receiveMessage<FromConnected, "cost">(child, "cost");
    child.send({ type: "report" } satisfies ToConnected);
    return (await report).cost;
};

/** Percent of a core. */
const getShare = (costs: readonly ConnectedCost[]): number =>
    sum(costs, cost => cost.processorMs / cost.elapsedMs) * 100;

const getBytesPerSecond = (cost: ConnectedCost): number => cost.bytesWritten / cost.elapsedMs * 1_000;

const sum = <Item>(items: readonly Item[], getValue: (item: Item) => number): number =>
    items.reduce((total, item) => total + getValue(item), 0);

const pause = (duration: Milliseconds): Promise<void> => new Promise(resolve => setTimeout(resolve, duration));
