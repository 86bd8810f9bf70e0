/** Control instances over loopback that drain and restore a zone, and start again from their disks. */

import { ControlInstance, loadSettings, newSystemEnvironment } from "@anvilmux/anvilmux";
import { toAddress, toInstanceId, toZoneId } from "@anvilmux/common";
import type { ZoneId } from "@anvilmux/common";
import { toWorkerId } from "@anvilmux/dispatch";
import { ControlHub, ControlLinks } from "@anvilmux/fleet";
import type { DrainedZonesSource } from "@anvilmux/fleet";
import { ChannelChecker } from "@anvilmux/links";
import { findFreePort, waitUntil } from "@anvilmux/stand-ins";
import { newSilentLogger } from "@anvilmux/telemetry";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { isDeepStrictEqual } from "node:util";
import { trustingAuthority } from "./trustingAuthority";

const zone = toZoneId("z1");
const timeoutMs = 5_000;
const cleanups: (() => unknown)[] = [];
afterEach(async () => {
    for (const cleanup of cleanups.splice(0).reverse()) {
        await cleanup();
    }
});

const newFolder = (): string => {
    const folder = mkdtempSync(join(tmpdir(), "anvilmux-zone-drains-"));
    cleanups.push(() => rmSync(folder, { recursive: true, force: true }));
    return folder;
};

const startControl = async (
    folder: string,
    port: number,
    linkPort?: number,
    ports: readonly number[] = [port],
    zones?: readonly ZoneId[],
): Promise<ControlInstance> => {
    const { settings } = loadSettings({
        "instance-id": `core-${ports.indexOf(port)}`,
        "zone": "z0",
        "host": "127.0.0.1",
        "peer-port": String(port),
        "control-peers": ports.map(peer => `127.0.0.1:${peer}`).join(","),
        "seeds": ports.filter(peer => peer !== port).map(peer => `127.0.0.1:${peer}`).join(","),
        "form-group": "true",
        "data-folder": folder,
        "peer-secrets": "test",
        "platform-token": "test",
        "operator-token": "test",
    }, {});
    const environment = { ...newSystemEnvironment(), authority: trustingAuthority };
    const control = new ControlInstance({
        settings,
        environment,
        linkPort: linkPort ?? await findFreePort(),
        ...zones && { zones },
    });
    await control.start();
    cleanups.push(() => control.stop());
    return control;
};

const announceWorker = (control: ControlInstance): boolean =>
    control.handleWorkerAnnouncement({
        id: toWorkerId("w1"),
        incarnation: 1,
        sequence: 1,
        service: "s",
        address: toAddress("127.0.0.1:9"),
        zone,
        state: "ready",
        room: { millicores: 1_000, memoryMebibytes: 100, accelerators: 0 },
    });

const setUntilAccepted = async (control: ControlInstance, isDrained: boolean): Promise<number> => {
    for (;;) {
        const outcome = await control.setZoneDrained(zone, isDrained, "10.0.0.9", timeoutMs);
        if (outcome.kind === "accepted") {
            return outcome.index;
        }
        await new Promise(resolve => setTimeout(resolve, 20));
    }
};

const getSource = (hub: ControlHub): DrainedZonesSource =>
    (hub as unknown as { readonly options: { readonly drainedZones: DrainedZonesSource; }; }).options.drainedZones;

/** The list that a hub sends to an entry that connects now; undefined while it sends none. */
const readList = (hub: ControlHub): unknown => {
    const source = getSource(hub);
    return source.isKnown() ? [source.getIndex(), source.getZones()] : undefined;
};

/** Records the list that each announcement of a hub sends to the entries. */
const recordAnnouncements = (): readonly unknown[] => {
    const recorded: unknown[] = [];
    const { prototype } = ControlHub;
    const original = prototype.announceDrainedZones;
    cleanups.push(() => prototype.announceDrainedZones = original);
    prototype.announceDrainedZones = function(this: ControlHub) {
        recorded.push(readList(this));
        original.call(this);
    };
    return recorded;
};

test("a zone of which nothing was heard yet is refused for good, or drained", async () => {
    const control = await startControl(newFolder(), await findFreePort());
    expect(await control.setZoneDrained(zone, true, "10.0.0.9", timeoutMs)).toMatchObject({ kind: "unknown" });
});

test("a zone that the settings name cannot be drained before something of it is heard", async () => {
    const port = await findFreePort();
    const control = await startControl(newFolder(), port, undefined, [port], [zone]);
    expect(await setUntilAccepted(control, true)).toBeGreaterThan(0);
});

/** An entry that is connected to a control instance and claims no workers. */
const connectEntry = (linkPort: number): void => {
    const environment = { ...newSystemEnvironment(), logger: newSilentLogger() };
    const checker = new ChannelChecker(environment.clock, environment.timers, () => undefined);
    const links = new ControlLinks({
        self: { id: toInstanceId("entry-1"), incarnation: 1, zone, address: toAddress("127.0.0.1:9") },
        seeds: [toAddress(`127.0.0.1:${linkPort}`)],
        checker,
        environment,
        getConfigurationIndex: () => 0,
        onMembers: () => undefined,
        getClaim: () => 0,
        isUrgent: () => false,
        onFormerOwners: () => undefined,
        onOwners: () => undefined,
        onWorkers: () => undefined,
        onConfiguration: () => undefined,
    });
    cleanups.push(() => checker.stop(), () => links.stop());
};

test("the zone of a connected entry without workers cannot be drained", async () => {
    const linkPort = await findFreePort();
    const control = await startControl(newFolder(), await findFreePort(), linkPort);
    connectEntry(linkPort);
    expect(await setUntilAccepted(control, true)).toBeGreaterThan(0);
});

test("entries are not told of a change, or are told of a request that changes nothing", async () => {
    const announcements = recordAnnouncements();
    const control = await startControl(newFolder(), await findFreePort());
    announceWorker(control);
    const drainedAt = await setUntilAccepted(control, true);
    expect(await setUntilAccepted(control, true)).toBe(drainedAt);
    const restoredAt = await setUntilAccepted(control, false);
    await waitUntil(() => announcements.length >= 3);
    // The first one tells that the instance has caught up.
    expect(announcements).toEqual([[0, []], [drainedAt, ["z1"]], [restoredAt, []]]);
});

test("a control instance forgets a drained zone when it starts again, or tells nobody of it", async () => {
    const folder = newFolder();
    const port = await findFreePort();
    const former = await startControl(folder, port);
    announceWorker(former);
    const index = await setUntilAccepted(former, true);
    await former.stop();
    const announcements = recordAnnouncements();
    const control = await startControl(folder, port);
    await waitUntil(() => announcements.length >= 1);
    expect(announcements).toEqual([[index, ["z1"]]]);
    // The zone is known from the log, although nothing of it was heard since the start.
    expect(await setUntilAccepted(control, false)).toBeGreaterThan(index);
});

test("a control instance reports an empty list before it has caught up, after all have lost power", async () => {
    const ports = [await findFreePort(), await findFreePort(), await findFreePort()];
    const folders = ports.map(newFolder);
    const start = (number: number) => startControl(folders[number]!, ports[number]!, undefined, ports);
    const former = await Promise.all([start(0), start(1), start(2)]);
    announceWorker(former[0]!);
    const index = await setUntilAccepted(former[0]!, true);
    // Like a loss of power, a stop leaves the log without the position up to which it is committed.
    await Promise.all(former.map(control => control.stop()));

    const announcements = recordAnnouncements();
    const reported: unknown[][] = [];
    const watch = async (number: number): Promise<void> => {
        const { hub } = await start(number) as unknown as { readonly hub: ControlHub; };
        const lists: unknown[] = [readList(hub)];
        reported[number] = lists;
        const timer = setInterval(() => lists.push(readList(hub)), 1);
        cleanups.push(() => clearInterval(timer));
        if (number === 0) {
            // Alone it does not learn what is committed.
            expect([lists, getSource(hub).getZones()]).toEqual([[undefined], []]);
        }
    };
    await watch(0);
    await Promise.all([watch(1), watch(2)]);
    await waitUntil(() => reported.every(lists => lists.at(-1) !== undefined) && announcements.length >= 3);
    const list = [index, ["z1"]];
    reported.forEach(lists => expect(lists.filter(item => item !== undefined)).toContainEqual(list));
    expect(reported.flat().filter(item => item !== undefined && !isDeepStrictEqual(item, list))).toEqual([]);
    expect(announcements).toEqual([list, list, list]);
}, 60_000);
