/** Entries of a zone over loopback: who is heard, who is lost, and jobs between them. */

import { toJobId } from "@anvilmux/common";
import type { JobRequest } from "@anvilmux/dispatch";
import { ZoneMesh } from "@anvilmux/fleet";
import type { EntryMember, FromPeer } from "@anvilmux/fleet";
import { findFreePort, waitUntil } from "@anvilmux/stand-ins";
import { newChecker, newEnvironment, newMember } from "./loopback";

const cleanups: (() => void)[] = [];
afterEach(() => cleanups.splice(0).reverse().forEach(cleanup => cleanup()));

class Node {
    readonly lostPeers: string[] = [];
    readonly lostHomes: string[] = [];
    readonly submitted: string[] = [];
    readonly cancelled: string[] = [];
    readonly knownAway: string[] = [];
    readonly replies: FromPeer[] = [];
    home = "";
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
            onPeerLost: peer => this.lostPeers.push(peer),
            onSubmit: (home, message, reply) => {
                this.home = home;
                this.reply = reply;
                this.submitted.push(message.request.id);
            },
            onAwayKnown: (_home, message) => this.knownAway.push(message.id),
            onCancel: (_home, message) => this.cancelled.push(message.id),
            onHomeLost: home => this.lostHomes.push(home),
        });
        cleanups.push(() => checker.stop(), () => this.mesh.stop());
    }
}

const startNode = async (id: string, zone = "z1"): Promise<Node> => {
    const port = await findFreePort();
    const node = new Node(newMember(id, zone, port), port);
    await node.mesh.start();
    return node;
};

const startPair = async (): Promise<readonly [Node, Node]> => {
    const [first, second] = [await startNode("a"), await startNode("b")];
    const members = [first.member, second.member];
    first.mesh.noteMembers(members);
    second.mesh.noteMembers(members);
    await waitUntil(() => first.mesh.isEachPeerHeard() && second.mesh.isEachPeerHeard());
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
    test("hear each other's claims; entries of other zones are left out", async () => {
        const [first, second] = await startPair();
        first.mesh.noteMembers([(await startNode("c", "z2")).member]);
        second.claim = 77;
        second.mesh.tellState();
        await waitUntil(() => first.mesh.getCandidates().some(candidate => candidate.claim === 77));
        expect(first.mesh.getCandidates().map(candidate => candidate.id)).toEqual(["b"]);
    }, 30_000);

    test("a peer that is known and not heard is missed", async () => {
        const node = await startNode("a");
        expect(node.mesh.isEachPeerHeard()).toBe(true);
        node.mesh.noteMembers([newMember("b", "z1", await findFreePort())]);
        expect(node.mesh.isEachPeerHeard()).toBe(false);
    });

    test("jobs, answers and what homes know travel between them", async () => {
        const [first, second] = await startPair();
        expect(first.mesh.send("b", { type: "submit", request: newRequest("job1") })).toBe(true);
        await waitUntil(() => second.submitted.length === 1);
        second.reply({ type: "away", id: toJobId("job1") });
        await waitUntil(() => first.replies.length === 1);
        first.mesh.send("b", { type: "away-known", id: toJobId("job1") });
        first.mesh.send("b", { type: "cancel", id: toJobId("job1") });
        await waitUntil(() => second.cancelled.length === 1);
        expect([second.knownAway, second.home]).toEqual([["job1"], expect.stringMatching(/^a#/)]);
    }, 30_000);

    test("the loss of an entry is noticed at both ends of its connections", async () => {
        const [first, second] = await startPair();
        first.mesh.send("b", { type: "submit", request: newRequest("job1") });
        await waitUntil(() => second.submitted.length === 1);
        first.mesh.stop();
        await waitUntil(() => second.lostPeers.includes("a") && second.lostHomes.includes(second.home));
        expect(second.mesh.getCandidates()).toEqual([]);
        expect(second.mesh.send("a", { type: "cancel", id: toJobId("job1") })).toBe(false);
    }, 30_000);
});
