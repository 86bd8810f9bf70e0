/** Entries of a zone over loopback: reported states, disconnections and submitted jobs. */

import { toAddress, toJobId } from "@anvilmux/common";
import { toTaskName, toWorkerId } from "@anvilmux/dispatch";
import type { FreeCapacity, JobRequest } from "@anvilmux/dispatch";
import { getLeadingEntries, newZonePeer, ZonePeers } from "@anvilmux/fleet";
import type { EntryMember, PeerConnection, PeerMessage, ZonePeer } from "@anvilmux/fleet";
import { findFreePort, waitUntil } from "@anvilmux/stand-ins";
import { findDispensablePeer } from "../src/peerRetention";
import { newChecker, newEnvironment, newMember } from "./loopback";
import { dialRaw, listenRaw } from "./rawPeers";

const cleanups: (() => void)[] = [];
afterEach(() => cleanups.splice(0).reverse().forEach(cleanup => cleanup()));

class EntryFixture {
    readonly disconnectedPeers: string[] = [];
    readonly disconnectedSubmitters: string[] = [];
    readonly submitted: string[] = [];
    readonly cancelled: string[] = [];
    readonly cancelKeys: string[] = [];
    readonly withdrawn: string[] = [];
    readonly remoteAcknowledged: string[] = [];
    readonly replies: PeerMessage[] = [];
    submitterKey = "";
    reply: (message: PeerMessage) => void = () => undefined;
    claim = 0;
    free: FreeCapacity = {};
    ownerId: string | undefined;
    readonly peers: ZonePeers;

    constructor(readonly member: EntryMember, readonly port: number) {
        const environment = newEnvironment();
        const checker = newChecker(environment);
        this.peers = new ZonePeers({
            self: member,
            host: "127.0.0.1",
            port,
            checker,
            environment,
            getState: () => ({ claim: this.claim, fitness: "ready" }),
            getOwnerId: () => this.ownerId,
            hasOpenJobs: () => false,
            onChange: () => undefined,
            getFreeCapacity: () => this.free,
            getWorkers: () => [],
            onWorkers: () => undefined,
            onMessage: (message, connection) => this.receive(message, connection),
            onPeerConnected: () => undefined,
            onPeerDisconnected: peer => this.disconnectedPeers.push(peer),
            onSubmitterDisconnected: submitterKey => this.disconnectedSubmitters.push(submitterKey),
        });
        cleanups.push(() => checker.stop(), () => this.peers.stop());
    }

    private receive(message: PeerMessage, { send, submitterKey }: PeerConnection): void {
        switch (message.type) {
            case "submit":
                this.submitterKey = submitterKey;
                this.reply = send;
                this.submitted.push(message.request.id);
                return;
            case "away-known":
                this.remoteAcknowledged.push(message.id);
                return;
            case "cancel":
                this.cancelled.push(message.id);
                this.cancelKeys.push(submitterKey);
                return;
            case "withdraw":
                this.withdrawn.push(message.id);
                return;
            case "worker-call":
                send({ type: "worker-answer", number: message.number, answer: message.call.kind === "stop" });
                return;
            default:
                this.replies.push(message);
        }
    }
}

const startEntry = async (id: string, zone = "z1"): Promise<EntryFixture> => {
    const port = await findFreePort();
    const entry = new EntryFixture(newMember(id, zone, port), port);
    await entry.peers.start();
    return entry;
};

const startPair = async (): Promise<readonly [EntryFixture, EntryFixture]> => {
    const [first, second] = [await startEntry("a"), await startEntry("b")];
    const members = [first.member, second.member];
    first.peers.handleMembers(members);
    second.peers.handleMembers(members);
    await waitUntil(() => [first, second].every(entry => entry.peers.getCandidates().length === 1));
    return [first, second];
};

const newRequest = (id: string): JobRequest => ({
    id: toJobId(id),
    queue: "q",
    service: "s",
    payload: "",
    tasks: [],
    priority: 0,
    attempts: 1,
    objectiveMs: 100,
    remainingMs: 100,
    resubmitted: false,
    mayRunElsewhere: false,
    spilled: false,
});

describe("entries of a zone", () => {
    test("receive each other's claims and ignore entries of other zones", async () => {
        const [first, second] = await startPair();
        first.peers.handleMembers([(await startEntry("c", "z2")).member]);
        second.claim = 77;
        second.peers.announceState();
        await waitUntil(() => first.peers.getCandidates().some(candidate => candidate.claim === 77));
        expect(first.peers.getCandidates().map(candidate => candidate.id)).toEqual(["b"]);
    }, 30_000);

    test("a state that changes while the connection is being opened is reported", async () => {
        const [first, second] = [await startEntry("a"), await startEntry("b")];
        const members = [first.member, second.member];
        first.peers.handleMembers(members);
        second.peers.handleMembers(members);
        const interval = setInterval(() => {
            second.claim += 1;
            second.peers.announceState();
        }, 0);
        cleanups.push(() => clearInterval(interval));
        await waitUntil(() => second.peers.getCandidates().length === 1);
        clearInterval(interval);
        await waitUntil(() => first.peers.getCandidates().some(({ claim }) => claim === second.claim));
    }, 30_000);

    test("not all peers are connected while a known entry has no connection", async () => {
        const entry = await startEntry("a");
        expect(entry.peers.areNeededPeersConnected()).toBe(true);
        entry.peers.handleMembers([newMember("b", "z1", await findFreePort())]);
        expect(entry.peers.areNeededPeersConnected()).toBe(false);
    });

    test("exchange jobs, replies and acknowledgements of remote tasks", async () => {
        const [first, second] = await startPair();
        expect(first.peers.send("b", { type: "submit", request: newRequest("job1"), submission: 1 })).toBe(true);
        await waitUntil(() => second.submitted.length === 1);
        second.reply({ type: "away", id: toJobId("job1"), submission: 1 });
        await waitUntil(() => first.replies.length === 1);
        first.peers.send("b", { type: "away-known", id: toJobId("job1") });
        first.peers.send("b", { type: "withdraw", id: toJobId("job1") });
        first.peers.send("b", { type: "cancel", id: toJobId("job1") });
        await waitUntil(() => second.cancelled.length === 1);
        expect(second.withdrawn).toEqual(["job1"]);
        expect([second.remoteAcknowledged, second.submitterKey]).toEqual([["job1"], expect.stringMatching(/^a#/)]);
    }, 30_000);

    test("exchange calls to workers and their answers", async () => {
        const [first] = await startPair();
        const worker = { id: toWorkerId("w"), address: toAddress("127.0.0.1:1") };
        const call = { kind: "stop", task: toTaskName("t"), run: 1, fencingToken: 1 } as const;
        first.peers.send("b", { type: "worker-call", number: 7, worker, call });
        await waitUntil(() => first.replies.length === 1);
        expect(first.replies).toEqual([{ type: "worker-answer", number: 7, answer: true }]);
    }, 30_000);

    // An entry that ends cancels its jobs, and closes its connections in the same turn of the event loop.
    test("the cancel of a job is not lost when its entry stops", async () => {
        const [first, second] = await startPair();
        first.peers.send("b", { type: "cancel", id: toJobId("job1") });
        first.peers.stop();
        await waitUntil(() => second.disconnectedPeers.includes("a"));
        expect(second.cancelled).toEqual(["job1"]);
    }, 30_000);

    test("a stopped entry is detected at both ends of its connections", async () => {
        const [first, second] = await startPair();
        first.peers.send("b", { type: "submit", request: newRequest("job1"), submission: 1 });
        await waitUntil(() => second.submitted.length === 1);
        first.peers.stop();
        await waitUntil(() =>
            second.disconnectedPeers.includes("a") && second.disconnectedSubmitters.includes(second.submitterKey)
        );
        expect(second.peers.getCandidates()).toEqual([]);
        expect(second.peers.send("a", { type: "cancel", id: toJobId("job1") })).toBe(false);
    }, 30_000);
});

const toLines = (messages: readonly PeerMessage[]): readonly string[] =>
    messages.map(message => JSON.stringify(message));

// An entry that replaces a connection submits its jobs again on the new one, where its state may follow.
test(
    "jobs that come before the state of their entry are not cancelled, and go on after the entry has gone",
    async () => {
        const submit: PeerMessage = { type: "submit", request: newRequest("job1"), submission: 1 };
        const state = { type: "state", claim: 0, fitness: "ready", knownWorkers: 0 } as const;
        const cancel: PeerMessage = { type: "cancel", id: toJobId("job1") };
        const owner = await startEntry("b");
        const port = await findFreePort();
        const entries = await listenRaw(port, cleanups);
        owner.peers.handleMembers([newMember("a", "z1", port)]);
        await waitUntil(() => entries.length === 1);
        entries[0]!.send(...toLines([submit, { ...state, member: newMember("a", "z1", 1) }, cancel]));
        await waitUntil(() => owner.cancelled.length === 1);
        expect(owner.cancelKeys).toEqual([owner.submitterKey]);
        entries[0]!.close();
        await waitUntil(() => owner.disconnectedSubmitters.length > 0);
        expect(owner.disconnectedSubmitters).toEqual([owner.submitterKey]);
    },
    30_000,
);

test("jobs that come before the zone of their owner are not cancelled", async () => {
    const owner = await startEntry("b");
    const submit: PeerMessage = { type: "submit", request: newRequest("job1"), submission: 1 };
    const introduction: PeerMessage = { type: "zone-owner", id: "c", zone: "z2" };
    const cancel: PeerMessage = { type: "cancel", id: toJobId("job1") };
    dialRaw(owner.port, cleanups).send(...toLines([submit, introduction, cancel]));
    await waitUntil(() => owner.cancelled.length === 1);
    expect(owner.cancelKeys).toEqual([owner.submitterKey]);
}, 30_000);

// Free capacity was reported only when it changed, and that of an idle zone may not change for long.
test("the owner of another zone that connects later does not learn of the free capacity of an idle zone", async () => {
    const owner = await startEntry("b");
    owner.free = { desk: [16_000] };
    const other = dialRaw(owner.port, cleanups);
    other.send(...toLines([{ type: "zone-owner", id: "c", zone: "z2" }]));
    await waitUntil(() => other.received.some(line => line.startsWith("{")));
    expect(other.received).toContain(JSON.stringify({ type: "room", free: owner.free }));
}, 30_000);

test("an entry announced with a port out of range ends the process at the next review", async () => {
    const entry = await startEntry("b");
    const odd = { ...newMember("a", "z1", 1), address: toAddress("127.0.0.1:99999") };
    const sound = newMember("0", "z1", await findFreePort());
    entry.peers.handleMembers([odd, sound]);
    entry.peers.review();
    await waitUntil(() => !entry.peers.isAwaitingPeers());
    expect(entry.peers.getCandidates()).toEqual([]);
}, 30_000);

// Each name was remembered, and looked at whenever connections were reviewed.
test("a connection on which ever new entries report themselves makes its entry remember all of them", async () => {
    const entry = await startEntry("b");
    const other = dialRaw(entry.port, cleanups);
    const state = { type: "state", claim: 0, fitness: "ready", knownWorkers: 0 } as const;
    const lines = ["c", "d", "e"].map(id => ({ ...state, member: newMember(id, "z1", 1) }));
    other.send(...toLines(lines));
    await waitUntil(() => other.closed);
    expect(entry.peers.getCandidates()).toEqual([]);
}, 30_000);

test("ever new entries in member lists are remembered for good, or replace those that are connected", () => {
    const newPeer = (number: number, isConnected: boolean): ZonePeer => ({
        ...newZonePeer(newMember(`e${number}`, "z1", 1), number),
        connection: isConnected ? {} as PeerConnection : undefined,
    });
    const peers = [newPeer(1, true), newPeer(3, false), newPeer(2, false)];
    expect(findDispensablePeer(peers)?.id).toBe("e2");
    expect(findDispensablePeer([newPeer(1, true)])).toBeUndefined();
});

describe("structure of a zone", () => {
    const startZone = async (count: number): Promise<readonly EntryFixture[]> => {
        const ids = Array.from({ length: count }, (_, index) => `e${String(index).padStart(2, "0")}`);
        const entries = await Promise.all(ids.map(id => startEntry(id)));
        entries.forEach(entry => entry.peers.handleMembers(entries.map(({ member }) => member)));
        return entries;
    };
    const countConnected = (entry: EntryFixture): number => entry.peers.getCandidates().length;

    test("an ordinary entry has the same connections however large its zone is", async () => {
        const [small, large] = [await startZone(6), await startZone(16)];
        await waitUntil(() => [small, large].every(zone => zone.every(entry => countConnected(entry) >= 3)));
        expect([small, large].map(zone => countConnected(zone.at(-1)!))).toEqual([3, 3]);
    }, 30_000);

    test("the owner is connected to every entry of its zone, on one connection each", async () => {
        const zone = await startZone(10);
        zone.forEach(entry => {
            entry.ownerId = "e07";
            entry.peers.review();
        });
        await waitUntil(() => countConnected(zone[7]!) === 9);
        expect(zone[7]!.peers.send("e05", { type: "submit", request: newRequest("job1"), submission: 1 })).toBe(true);
        await waitUntil(() => zone[5]!.submitted.length === 1);
        expect(zone[5]!.peers.send("e07", { type: "submit", request: newRequest("job2"), submission: 1 })).toBe(true);
        await waitUntil(() => zone[7]!.submitted.length === 1);
        expect(zone[9]!.peers.send("e07", { type: "cancel", id: toJobId("job3") })).toBe(true);
        expect(zone.flatMap(entry => entry.disconnectedPeers)).toEqual([]);
    }, 30_000);

    test("an entry learns from control of an owner that comes after the leading entries", async () => {
        const zone = await startZone(8);
        zone[5]!.ownerId = "e05";
        zone[5]!.peers.review();
        zone[7]!.peers.handleReportedOwner(zone[5]!.member);
        await waitUntil(() => zone[7]!.peers.send("e05", { type: "cancel", id: toJobId("job1") }));
        expect(zone[5]!.peers.getCandidates().map(({ id }) => id)).toContain("e07");
    }, 30_000);

    test("after the leading entries were lost, the next ones are connected to every entry", async () => {
        const zone = await startZone(9);
        await waitUntil(() => countConnected(zone[8]!) === 3);
        zone.slice(0, 3).forEach(entry => entry.peers.stop());
        await waitUntil(() => countConnected(zone[3]!) === 5 && countConnected(zone[8]!) >= 3);
        expect(zone[8]!.peers.getCandidates().map(({ id }) => id)).toContain("e03");
        expect(zone[8]!.peers.isAwaitingPeers()).toBe(false);
    }, 30_000);
});

describe("leading entries", () => {
    const newEntry = (id: string, state: "reachable" | "unreachable" | "ineligible" = "reachable") => ({
        id,
        isUnreachable: state === "unreachable",
        isIneligible: state === "ineligible",
    });
    const getIds = (entries: Parameters<typeof getLeadingEntries>[0]) => getLeadingEntries(entries).map(({ id }) => id);

    test("are the first three", () => {
        expect(getIds(["a", "b", "c", "d"].map(id => newEntry(id)))).toEqual(["a", "b", "c"]);
    });

    test("include one more for each that may not own the workers, and two more for each that is unreachable", () => {
        const others = ["c", "d", "e", "f", "g"].map(id => newEntry(id));
        expect(getIds([newEntry("a", "ineligible"), newEntry("b"), ...others])).toEqual(["a", "b", "c", "d"]);
        expect(getIds([newEntry("a", "unreachable"), newEntry("b"), ...others])).toEqual(["a", "b", "c", "d", "e"]);
    });
});
