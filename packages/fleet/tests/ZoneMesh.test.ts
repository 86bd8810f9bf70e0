/** Entries of a zone over loopback: reported states, disconnections and submitted jobs. */

import { toAddress, toJobId } from "@anvilmux/common";
import { toTaskName, toWorkerId } from "@anvilmux/dispatch";
import type { JobRequest } from "@anvilmux/dispatch";
import { ZoneMesh } from "@anvilmux/fleet";
import type { EntryMember, FromPeer } from "@anvilmux/fleet";
import { findFreePort, waitUntil } from "@anvilmux/stand-ins";
import { newChecker, newEnvironment, newMember } from "./loopback";

const cleanups: (() => void)[] = [];
afterEach(() => cleanups.splice(0).reverse().forEach(cleanup => cleanup()));

class EntryFixture {
    readonly disconnectedPeers: string[] = [];
    readonly disconnectedSubmitters: string[] = [];
    readonly submitted: string[] = [];
    readonly cancelled: string[] = [];
    readonly withdrawn: string[] = [];
    readonly remoteAcknowledged: string[] = [];
    readonly replies: FromPeer[] = [];
    submitterKey = "";
    reply: (message: FromPeer) => void = () => undefined;
    claim = 0;
    readonly mesh: ZoneMesh;

    constructor(readonly member: EntryMember, port: number) {
        const environment = newEnvironment();
        const checker = newChecker(environment);
        this.mesh = new ZoneMesh({
            self: member,
            host: "127.0.0.1",
            port,
            checker,
            environment,
            getState: () => ({ claim: this.claim, fitness: "ready" }),
            onChange: () => undefined,
            getWorkers: () => [],
            onWorkers: () => undefined,
            onReply: (_peer, message) => this.replies.push(message),
            onPeerDisconnected: peer => this.disconnectedPeers.push(peer),
            onSubmit: (submitterKey, message, reply) => {
                this.submitterKey = submitterKey;
                this.reply = reply;
                this.submitted.push(message.request.id);
            },
            onRemoteAcknowledged: (_submitterKey, message) => this.remoteAcknowledged.push(message.id),
            onCancel: (_submitterKey, message) => this.cancelled.push(message.id),
            onWithdraw: (_submitterKey, message) => this.withdrawn.push(message.id),
            onSubmitterDisconnected: submitterKey => this.disconnectedSubmitters.push(submitterKey),
            onWorkerCall: (call, reply) =>
                reply({ type: "worker-answer", number: call.number, answer: call.call.kind === "stop" }),
        });
        cleanups.push(() => checker.stop(), () => this.mesh.stop());
    }
}

const startEntry = async (id: string, zone = "z1"): Promise<EntryFixture> => {
    const port = await findFreePort();
    const entry = new EntryFixture(newMember(id, zone, port), port);
    await entry.mesh.start();
    return entry;
};

const startPair = async (): Promise<readonly [EntryFixture, EntryFixture]> => {
    const [first, second] = [await startEntry("a"), await startEntry("b")];
    const members = [first.member, second.member];
    first.mesh.handleMembers(members);
    second.mesh.handleMembers(members);
    await waitUntil(() => first.mesh.areAllPeersConnected() && second.mesh.areAllPeersConnected());
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
        first.mesh.handleMembers([(await startEntry("c", "z2")).member]);
        second.claim = 77;
        second.mesh.announceState();
        await waitUntil(() => first.mesh.getCandidates().some(candidate => candidate.claim === 77));
        expect(first.mesh.getCandidates().map(candidate => candidate.id)).toEqual(["b"]);
    }, 30_000);

    test("not all peers are connected while a known entry has no connection", async () => {
        const entry = await startEntry("a");
        expect(entry.mesh.areAllPeersConnected()).toBe(true);
        entry.mesh.handleMembers([newMember("b", "z1", await findFreePort())]);
        expect(entry.mesh.areAllPeersConnected()).toBe(false);
    });

    test("exchange jobs, replies and acknowledgements of remote tasks", async () => {
        const [first, second] = await startPair();
        expect(first.mesh.send("b", { type: "submit", request: newRequest("job1"), submission: 1 })).toBe(true);
        await waitUntil(() => second.submitted.length === 1);
        second.reply({ type: "away", id: toJobId("job1"), submission: 1 });
        await waitUntil(() => first.replies.length === 1);
        first.mesh.send("b", { type: "away-known", id: toJobId("job1") });
        first.mesh.send("b", { type: "withdraw", id: toJobId("job1") });
        first.mesh.send("b", { type: "cancel", id: toJobId("job1") });
        await waitUntil(() => second.cancelled.length === 1);
        expect(second.withdrawn).toEqual(["job1"]);
        expect([second.remoteAcknowledged, second.submitterKey]).toEqual([["job1"], expect.stringMatching(/^a#/)]);
    }, 30_000);

    test("exchange calls to workers and their answers", async () => {
        const [first] = await startPair();
        const worker = { id: toWorkerId("w"), address: toAddress("127.0.0.1:1") };
        const call = { kind: "stop", task: toTaskName("t"), run: 1, fencingToken: 1 } as const;
        first.mesh.send("b", { type: "worker-call", number: 7, worker, call });
        await waitUntil(() => first.replies.length === 1);
        expect(first.replies).toEqual([{ type: "worker-answer", number: 7, answer: true }]);
    }, 30_000);

    test("a stopped entry is detected at both ends of its connections", async () => {
        const [first, second] = await startPair();
        first.mesh.send("b", { type: "submit", request: newRequest("job1"), submission: 1 });
        await waitUntil(() => second.submitted.length === 1);
        first.mesh.stop();
        await waitUntil(() =>
            second.disconnectedPeers.includes("a") && second.disconnectedSubmitters.includes(second.submitterKey)
        );
        expect(second.mesh.getCandidates()).toEqual([]);
        expect(second.mesh.send("a", { type: "cancel", id: toJobId("job1") })).toBe(false);
    }, 30_000);
});
