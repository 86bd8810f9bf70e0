/** Entries and control hubs over loopback: ownership transfer by a leaving entry, replaced control instances. */

import { DispatchEntry, newSystemEnvironment } from "@anvilmux/anvilmux";
import type { Environment } from "@anvilmux/anvilmux";
import { toAddress, toInstanceId, toZoneId } from "@anvilmux/common";
import type { Address, InstanceId } from "@anvilmux/common";
import { orphanGraceMs, toTaskName, toWorkerId } from "@anvilmux/dispatch";
import type { JobAnswer, JobRequest, WorkerAnnouncement } from "@anvilmux/dispatch";
import { findFreePort, waitUntil } from "@anvilmux/stand-ins";
import { Metrics, newSilentLogger } from "@anvilmux/telemetry";
import { once } from "node:events";
import { connect } from "node:net";
import type { Socket } from "node:net";
import { FakeWorkers } from "./FakeWorkers";
import { newJob } from "./newJob";
import { startHub } from "./startHub";
import { trustingAuthority } from "./trustingAuthority";

const environment = newSystemEnvironment();
/** An environment whose clock runs at a quarter of real time, so that timeouts outlast the test on a busy machine. */
const slowEnvironment: Environment = {
    ...environment,
    clock: { now: () => performance.now() / 4, wallNow: () => Date.now() },
};
const logger = newSilentLogger();
const cleanups: (() => void)[] = [];

afterEach(() => cleanups.splice(0).reverse().forEach(cleanup => cleanup()));

const newWorker = (zone: string, millicores: number): WorkerAnnouncement => ({
    id: toWorkerId(`worker-${zone}`),
    incarnation: 1,
    sequence: 1,
    service: "s",
    address: toAddress("127.0.0.1:1"),
    zone: toZoneId(zone),
    state: "ready",
    room: { millicores, memoryMebibytes: 1_000, accelerators: 0 },
});

const startControl = (getControlAddresses?: () => readonly Address[]) => startHub(cleanups, getControlAddresses);

const startEntry = async (
    id: InstanceId,
    zone: string,
    controlPort: number,
    workers: FakeWorkers,
    entryEnvironment: Environment = environment,
    linkPort?: number,
): Promise<DispatchEntry> => {
    const entry = new DispatchEntry({
        instanceId: id,
        zone: toZoneId(zone),
        host: "127.0.0.1",
        linkPort: linkPort ?? await findFreePort(),
        controlSeeds: [toAddress(`127.0.0.1:${controlPort}`)],
        authority: trustingAuthority,
        connectWorker: () => workers.connect(),
        environment: entryEnvironment,
        logger,
        metrics: new Metrics(),
    });
    await entry.start();
    cleanups.push(() => entry.stop());
    await waitUntil(() => entry.isReady);
    return entry;
};

/** Two entries in zone z1, the first of which owns its workers, and one entry in z2; each zone has one worker. */
const startTwoZones = async () => {
    const { hub, port } = await startControl();
    hub.handleWorkerAnnouncement(newWorker("z1", 1_000));
    hub.handleWorkerAnnouncement(newWorker("z2", 1_000));
    const localWorkers = new FakeWorkers();
    const remoteWorkers = new FakeWorkers();
    const first = await startEntry(toInstanceId("a"), "z1", port, localWorkers, slowEnvironment);
    const second = await startEntry(toInstanceId("b"), "z1", port, localWorkers, slowEnvironment);
    const other = await startEntry(toInstanceId("c"), "z2", port, remoteWorkers, slowEnvironment);
    await waitUntil(() => first.ownerId === "a" && second.ownerId === "a" && other.ownerId === "c");
    return { first, second, localWorkers, remoteWorkers };
};

test("a leaving owner transfers its workers without starting a running task again", async () => {
    const { hub, port } = await startControl();
    hub.handleWorkerAnnouncement(newWorker("z1", 1_000));
    const workers = new FakeWorkers();
    const first = await startEntry(toInstanceId("a"), "z1", port, workers);
    const second = await startEntry(toInstanceId("b"), "z1", port, workers);
    await waitUntil(() => first.ownerId === "a" && second.ownerId === "a");
    const answers: JobAnswer[] = [];
    second.accept(newJob("job1", 600), answer => answers.push(answer));
    await waitUntil(() => workers.starts.length === 1);
    first.leave();
    await waitUntil(() => second.ownerId === "b" && first.ownerId === "b");
    await new Promise(resolve => setTimeout(resolve, 300));
    expect(workers.starts).toHaveLength(1);
    expect(workers.running.size).toBe(1);
    expect(answers).toEqual([]);
}, 30_000);

/** An environment in which time passes at a fifth of real time. */
const newSlowMotion = (): Environment => {
    const { timers } = environment;
    return {
        ...environment,
        clock: { now: () => performance.now() / 5, wallNow: () => Date.now() },
        timers: {
            after: (delay, listener) => timers.after(delay * 5, listener),
            every: (period, listener) => timers.every(period * 5, listener),
        },
    };
};

test("a run is not kept for a job that no entry has, once all entries have submitted theirs to the owner", async () => {
    const { hub, port } = await startControl();
    hub.handleWorkerAnnouncement(newWorker("z1", 1_000));
    const workers = new FakeWorkers();
    const slowMotion = newSlowMotion();
    const first = await startEntry(toInstanceId("a"), "z1", port, workers, slowMotion);
    const second = await startEntry(toInstanceId("b"), "z1", port, workers, slowMotion);
    await waitUntil(() => first.ownerId === "a" && second.ownerId === "a");
    const order = { task: toTaskName("former.0"), run: 1, payload: "", fencingToken: 1, deadline: 0 };
    workers.running.set(order.task, order);
    const listedFrom = slowMotion.clock.now();
    await waitUntil(() => workers.running.size === 0);
    expect(slowMotion.clock.now() - listedFrom).toBeLessThan(orphanGraceMs);
}, 30_000);

test("the next owner does not immediately restart the former owner's job that has tasks in another zone", async () => {
    const { first, second, localWorkers, remoteWorkers } = await startTwoZones();
    const abandonFirst = first.accept(newJob("job1", 900), () => undefined);
    await waitUntil(() => localWorkers.starts.length === 1);
    first.accept(newJob("job2", 900), () => undefined);
    await waitUntil(() => remoteWorkers.starts.length === 1);
    abandonFirst();
    await waitUntil(() => localWorkers.running.size === 0);
    first.leave();
    await waitUntil(() => second.ownerId === "b");
    await new Promise(resolve => setTimeout(resolve, 500));
    expect(localWorkers.starts.filter(start => start.task === "job2.0")).toEqual([]);
}, 30_000);

test("a leaving owner waits for tasks in other zones before it transfers its workers", async () => {
    const { first, second, localWorkers, remoteWorkers } = await startTwoZones();
    first.accept(newJob("job1", 900), () => undefined);
    await waitUntil(() => localWorkers.starts.length === 1);
    const answers: JobAnswer[] = [];
    first.accept(newJob("job2", 900), answer => answers.push(answer));
    await waitUntil(() => remoteWorkers.starts.length === 1);
    first.leave();
    remoteWorkers.finish("job2.0");
    await waitUntil(() => answers.length > 0);
    expect(answers).toEqual([{ kind: "completed" }]);
    await waitUntil(() => second.ownerId === "b");
    expect(localWorkers.starts.map(start => start.task)).toEqual(["job1.0"]);
}, 30_000);

/** A clock that jumps as if its process had not run. */
const newJumpingEnvironment = () => {
    let jumpedMs = 0;
    const clock = { now: () => performance.now() + jumpedMs, wallNow: () => Date.now() };
    const jumpingEnvironment: Environment = { ...environment, clock };
    return { jumpingEnvironment, jump: (lengthMs: number) => void (jumpedMs += lengthMs) };
};

/** Connects as the owner of another zone, and answers probes until the connection is closed. */
const connectAsOwner = (port: number, onConnect: (socket: Socket) => void): Socket => {
    const socket = connect({ host: "127.0.0.1", port }, () => onConnect(socket));
    cleanups.push(() => socket.destroy());
    socket.on("error", () => undefined);
    socket.on("data", data => {
        const probes = data.toString().split("\n").filter(line => line === "?");
        socket.write("\n".repeat(probes.length));
    });
    return socket;
};

const sendMessages = (socket: Socket, messages: readonly object[]): boolean =>
    socket.write(messages.map(message => `${JSON.stringify(message)}\n`).join(""));

const newForwardedJob = (id: string) => ({
    type: "submit",
    request: { ...newJob(id, 100), spilled: true } satisfies JobRequest,
    submission: 1,
});

// An entry that did not run reads what was forwarded to it over connections that were closed since.
describe("tasks that another zone forwarded are not started when their connection was closed before they are read", () => {
    const introduction = { type: "zone-owner", id: "x", zone: "z2" };

    const startOwner = async (ownerEnvironment: Environment) => {
        const { hub, port } = await startControl();
        hub.handleWorkerAnnouncement(newWorker("z1", 1_000));
        const workers = new FakeWorkers();
        const linkPort = await findFreePort();
        const entry = await startEntry(toInstanceId("a"), "z1", port, workers, ownerEnvironment, linkPort);
        await waitUntil(() => entry.ownerId === "a");
        entry.accept(newJob("job0", 100), () => undefined);
        await waitUntil(() => workers.starts.length === 1);
        return { workers, linkPort };
    };

    const expectStarted = async (workers: FakeWorkers): Promise<void> => {
        await waitUntil(() => workers.starts.some(({ task }) => task === "job2.0"));
        expect(workers.starts.map(({ task }) => task)).toEqual(["job0.0", "job2.0"]);
    };

    test("on a connection that was opened and closed before it was accepted", async () => {
        const { workers, linkPort } = await startOwner(environment);
        connectAsOwner(linkPort, socket => {
            sendMessages(socket, [introduction, newForwardedJob("job1")]);
            socket.destroy();
        });
        connectAsOwner(linkPort, socket => sendMessages(socket, [introduction, newForwardedJob("job2")]));
        await expectStarted(workers);
    }, 30_000);

    test("on a connection that was open before", async () => {
        const { jumpingEnvironment, jump } = newJumpingEnvironment();
        const { workers, linkPort } = await startOwner(jumpingEnvironment);
        const sockets = [1, 2].map(() => connectAsOwner(linkPort, socket => sendMessages(socket, [introduction])));
        await Promise.all(sockets.map(socket => once(socket, "data")));
        const [closing, staying] = sockets;
        jump(4_000);
        sendMessages(closing!, [newForwardedJob("job1")]);
        closing!.destroy();
        sendMessages(staying!, [newForwardedJob("job2")]);
        await expectStarted(workers);
    }, 30_000);
});

test("an entry connects to announced control instances and stays connected when its seed stops", async () => {
    const addresses: Address[] = [];
    const former = await startControl(() => addresses);
    const entry = await startEntry(toInstanceId("a"), "z1", former.port, new FakeWorkers());
    const successor = await startControl();
    addresses.push(toAddress(`127.0.0.1:${successor.port}`));
    await waitUntil(() => successor.hub.entryCount === 1);
    former.hub.stop();
    await waitUntil(() => former.hub.entryCount === 0);
    expect(entry.isConnectedToControl).toBe(true);
}, 30_000);
