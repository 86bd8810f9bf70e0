/** Guarded servers against misbehaving clients on loopback: what is refused, what is closed, and what goes on. */

import { getDefaultLimits } from "@anvilmux/intake";
import type { ClientConnection } from "@anvilmux/intake";
import { waitUntil } from "@anvilmux/stand-ins";
import { ReadingTurns } from "../src/ReadingTurns";
import { closeServers, getRequest, maximumBodyBytes, post, postChunked, startServer, toChunk } from "./startServer";

afterEach(closeServers);

describe("default limits", () => {
    const limits = getDefaultLimits({ heapBytes: 200 * 1_048_576, descriptors: 3_000 });

    // The documented limits of the platform, which no client may find narrowed.
    test("leave room for every client within the documented limits", () => {
        expect(limits.headerBytes).toBeGreaterThanOrEqual(16_384);
        expect(limits.headersTimeoutMs).toBeGreaterThanOrEqual(15_000 + 3_000);
        expect(limits.idleTimeoutMs).toBeGreaterThan(15_000);
        expect(limits.connections).toBeGreaterThanOrEqual(1_000);
        // 64 connections from one address, each with the largest job held twice.
        expect(limits.memoryBytes * limits.addressShare).toBeGreaterThan(64 * 2 * 262_144);
    });

    test("leave descriptors and memory for everything else, and a configuration on a small heap", () => {
        expect(limits.connections).toBeLessThanOrEqual(1_500);
        expect(limits.memoryBytes).toBeLessThanOrEqual(64 * 1_048_576);
        const small = getDefaultLimits({ heapBytes: 32 * 1_048_576, descriptors: 256 });
        expect(small.memoryBytes * small.addressShare).toBeGreaterThan(2 * 4 * 1_048_576 + 1_048_576);
        expect(small.connections).toBeLessThanOrEqual(128);
    });

    // They were a quarter of the heap limit, which lay beyond the memory of the smallest machines.
    test("leave memory for the process and its garbage on a machine that has less than the heap limit", () => {
        const machineBytes = 210 * 1_048_576;
        const small = getDefaultLimits({ heapBytes: 248 * 1_048_576, descriptors: 3_075, machineBytes });
        const ordinaryBytes = 104 * 1_048_576;
        expect(ordinaryBytes + 3 * small.memoryBytes).toBeLessThanOrEqual(machineBytes);
        expect(small.memoryBytes * small.addressShare).toBeGreaterThan(2 * 4 * 1_048_576 + 1_048_576);
    });
});

/** A connection as far as `ReadingTurns` uses it. */
const newConnection = (waitingRequests = 0) => {
    let isPaused = false;
    const socket = {
        destroyed: false,
        isPaused: () => isPaused,
        pause: () => isPaused = true,
        resume: () => isPaused = false,
    };
    return { connection: { socket, skippedTurns: 0, waitingRequests } as unknown as ClientConnection, socket };
};

const turn = (): Promise<void> => new Promise(resolve => setImmediate(resolve));

describe("turns of reading", () => {
    // The end of a connection that is not read in a turn must not be taken for a caller that still waits.
    test("count for a connection only when it was read, and come first to those with waiting requests", async () => {
        const [waiting, other] = [newConnection(1), newConnection()];
        const turns = new ReadingTurns();
        turns.end([waiting.connection, other.connection]);
        expect([waiting.connection.skippedTurns, waiting.socket.isPaused(), other.socket.isPaused()])
            .toEqual([1, true, true]);
        await turn();
        expect([waiting.socket.isPaused(), other.socket.isPaused()]).toEqual([false, true]);
        await turn();
        expect([waiting.socket.isPaused(), other.socket.isPaused()]).toEqual([false, false]);
    });

    test("leave alone what was paused for another reason", async () => {
        const { connection, socket } = newConnection();
        socket.pause();
        const turns = new ReadingTurns();
        turns.end([connection]);
        await turn();
        expect([socket.isPaused(), connection.skippedTurns]).toEqual([true, 0]);
    });
});

describe("turns of reading very small chunks", () => {
    // Connections with ordinary requests were read once all chunks of the others had been.
    test("end for the connections that send them, and for no others", async () => {
        const [first, second, ordinary] = [newConnection(), newConnection(), newConnection()];
        const turns = new ReadingTurns();
        turns.countFragments(first.connection, 1_024);
        expect(first.socket.isPaused()).toBe(false);
        turns.countFragments(second.connection, 1_024);
        expect([first, second, ordinary].map(({ socket }) => socket.isPaused())).toEqual([true, true, false]);
        await turn();
        expect([first, second].map(({ socket }) => socket.isPaused())).toEqual([false, false]);
        turns.countFragments(first.connection, 1_024);
        expect(first.socket.isPaused()).toBe(false);
    });
});

describe("a guarded server", () => {
    // The parser goes through all that it is given, and was given 64 KB at a time.
    test("parses the rest of a refused body", async () => {
        const { server, open, countRefusals } = await startServer({ fragmentedBodies: 0 });
        let chunks = 0;
        server.on("request", request => request.on("data", () => chunks += 1));
        const client = await open();
        client.socket.write(postChunked + "1\r\nx\r\n".repeat(60_000));
        await waitUntil(() => client.isClosed());
        expect(client.received()).toMatch(/^HTTP\/1\.1 503 /);
        expect(countRefusals("fragmented")).toBe(1);
        expect(chunks).toBeLessThan(6_000);
    });

    test("reads a body in very small chunks otherwise than one in large ones", async () => {
        const { open, bodies } = await startServer();
        const client = await open();
        const body = Buffer.alloc(60_000, "xyz");
        const chunks = Array.from(body, byte => toChunk(Buffer.from([byte])));
        client.socket.write(Buffer.concat([Buffer.from(postChunked), ...chunks, Buffer.from("0\r\n\r\n")]));
        client.socket.write(Buffer.concat([Buffer.from(`${post}content-length: ${body.length}\r\n\r\n`), body]));
        await waitUntil(() => bodies.length === 2);
        expect(bodies.map(read => read.equals(body))).toEqual([true, true]);
    });

    test("holds headers that are not complete without a charge, or keeps it after them", async () => {
        const { open, bodies, getHeldBytes } = await startServer();
        const client = await open();
        const headers = `${post}x: ${"y".repeat(10_000)}`;
        client.socket.write(headers);
        await waitUntil(() => getHeldBytes() === 8_192 + 2 * headers.length);
        client.socket.write("\r\ncontent-length: 1\r\n\r\nz");
        await waitUntil(() => bodies.length === 1);
        await waitUntil(() => getHeldBytes() === 8_192);
        client.socket.write(headers);
        await waitUntil(() => getHeldBytes() > 20_000);
        client.socket.destroy();
        await waitUntil(() => getHeldBytes() === 0);
    });

    test("answers requests one after the other on a connection and releases their memory", async () => {
        const { open, bodies, getHeldBytes, countRefusals } = await startServer();
        const client = await open();
        client.socket.write(getRequest("/"));
        await waitUntil(() => bodies.length === 1);
        await waitUntil(() => getHeldBytes() === 8_192);
        client.socket.write(`${post}content-length: 3\r\n\r\nabc`);
        await waitUntil(() => bodies.length === 2);
        await waitUntil(() => getHeldBytes() === 8_192);
        client.socket.destroy();
        await waitUntil(() => getHeldBytes() === 0);
        expect(countRefusals()).toBe(0);
    });

    test("answers a body over the limit with 413, closes the connection and reads no more of it", async () => {
        const { open, countRefusals } = await startServer();
        const client = await open();
        client.socket.write(postChunked);
        const chunk = toChunk(Buffer.alloc(65_536));
        const timer = setInterval(() => client.socket.destroyed || client.socket.write(chunk), 5);
        await waitUntil(() => client.isClosed());
        clearInterval(timer);
        expect(client.received()).toMatch(/^HTTP\/1\.1 413 .*connection: close/is);
        expect(countRefusals("too-large")).toBe(1);
    });

    test("answers an announced body over the limit before any of it comes", async () => {
        const { open } = await startServer();
        const client = await open();
        client.socket.write(`${post}content-length: ${maximumBodyBytes + 1}\r\n\r\n`);
        await waitUntil(() => client.isClosed());
        expect(client.received()).toMatch(/^HTTP\/1\.1 413 /);
    });

    test("gives up the slowest body when the memory is used up, and serves the next request", async () => {
        const { open, bodies, countRefusals } = await startServer({ memoryBytes: 400_000, addressShare: 1 });
        const slow = await open();
        slow.socket.write(Buffer.concat([Buffer.from(postChunked), toChunk(Buffer.alloc(90_000))]));
        const next = await open();
        await new Promise(resolve => setTimeout(resolve, 20));
        const body = Buffer.alloc(90_000, "y");
        next.socket.write(Buffer.concat([Buffer.from(`${post}content-length: 90000\r\n\r\n`), body]));
        await waitUntil(() => bodies.length === 1);
        await waitUntil(() => slow.isClosed());
        expect(bodies[0]!.equals(body)).toBe(true);
        expect(slow.received()).toMatch(/^HTTP\/1\.1 503 /);
        expect(countRefusals("address-memory")).toBe(1);
    });

    test("closes idle connections when requests need their memory", async () => {
        const { open, bodies, slow, countRefusals } = await startServer({ memoryBytes: 49_000, addressShare: 1 });
        const idle = await open();
        idle.socket.write(getRequest("/"));
        await waitUntil(() => bodies.length === 1);
        const unused = await open();
        const clients = [await open(), await open()];
        clients.forEach(client => client.socket.write(getRequest("/slow")));
        await waitUntil(() => slow.length === 2);
        await waitUntil(() => unused.isClosed());
        expect(clients.map(client => client.isClosed())).toEqual([false, false]);
        expect(countRefusals("address-memory")).toBe(1);
    });

    // The answer would end up inside the response before it.
    test("does not answer a malformed request behind a request in progress", async () => {
        const { open, slow } = await startServer();
        const client = await open();
        client.socket.write(`${getRequest("/slow")}?\r\n\r\n`);
        await waitUntil(() => client.isClosed());
        expect(client.received()).toBe("");
        expect(slow.length).toBeLessThanOrEqual(1);
    });

    // Connections that only wait for their clients to read a refusal would keep new ones out.
    test("closes the connections of refused bodies before it refuses a new connection", async () => {
        const { open, slow, countRefusals } = await startServer({ connections: 2 });
        const client = await open();
        client.socket.write(getRequest("/slow"));
        await waitUntil(() => slow.length === 1);
        const refused = await open();
        refused.socket.write(`${post}content-length: ${maximumBodyBytes + 1}\r\n\r\n`);
        await waitUntil(() => countRefusals("too-large") === 1);
        const next = await open();
        next.socket.write(getRequest("/slow"));
        await waitUntil(() => slow.length === 2);
        expect([client.isClosed(), next.isClosed()]).toEqual([false, false]);
    });

    test("refuses with 503 and Retry-After where requests in progress hold all memory", async () => {
        const { open, slow, countRefusals } = await startServer({ memoryBytes: 49_000, addressShare: 1 });
        const first = await open();
        first.socket.write(getRequest("/slow"));
        await waitUntil(() => slow.length === 1);
        const second = await open();
        second.socket.write(getRequest("/slow"));
        await waitUntil(() => slow.length === 2);
        const third = await open();
        third.socket.write(getRequest("/slow"));
        await waitUntil(() => third.isClosed());
        expect([first.isClosed(), second.isClosed()]).toEqual([false, false]);
        expect(third.received()).toMatch(/^HTTP\/1\.1 503 .*retry-after: 1\r\n/is);
        expect([countRefusals(), slow.length]).toEqual([1, 2]);
    });

    test("closes unused connections first, then idle ones, each the oldest first", async () => {
        const { open, bodies, slow, countRefusals } = await startServer({ connections: 3 });
        const idle = await open();
        idle.socket.write(getRequest("/"));
        await waitUntil(() => bodies.length === 1);
        const atWork = await open();
        atWork.socket.write(getRequest("/slow"));
        await waitUntil(() => slow.length === 1);
        const unused = await open();
        const fourth = await open();
        await waitUntil(() => unused.isClosed());
        fourth.socket.write(getRequest("/slow"));
        await waitUntil(() => slow.length === 2);
        const fifth = await open();
        await waitUntil(() => idle.isClosed());
        fifth.socket.write(getRequest("/slow"));
        await waitUntil(() => slow.length === 3);
        const sixth = await open();
        await waitUntil(() => sixth.isClosed());
        expect([atWork, fourth, fifth].map(client => client.isClosed())).toEqual([false, false, false]);
        expect(countRefusals("connections")).toBe(3);
    });

    test("closes a connection with too many requests behind a slow one, and no other", async () => {
        const { open, slow, countRefusals } = await startServer({ openRequests: 4 });
        const other = await open();
        other.socket.write(getRequest("/slow"));
        const client = await open();
        client.socket.write(getRequest("/slow").repeat(50));
        await waitUntil(() => client.isClosed());
        expect(slow.length).toBeLessThanOrEqual(5);
        expect(countRefusals("open-requests")).toBe(1);
        expect(other.isClosed()).toBe(false);
    });

    test("closes a connection whose unread responses exceed its share", async () => {
        const { open, countRefusals, getHeldBytes } = await startServer();
        const client = await open();
        client.socket.pause();
        client.socket.write(getRequest("/large").repeat(10));
        await waitUntil(() => countRefusals("unread-responses") === 1);
        await waitUntil(() => getHeldBytes() === 0);
    });

    test("closes a connection whose client leaves a response unread for too long, and not before", async () => {
        const sizes = { largeBytes: 16_000_000, bodyBytes: 16_000_000 };
        const { open, time, countRefusals, getHeldBytes } = await startServer({ unreadTimeoutMs: 3_000 }, sizes);
        const client = await open();
        client.socket.pause();
        client.socket.write(getRequest("/large"));
        await waitUntil(() => getHeldBytes() > sizes.largeBytes);
        await time.advance(2_000);
        expect(countRefusals()).toBe(0);
        await time.advance(3_000);
        expect(countRefusals("unread-responses")).toBe(1);
        expect(getHeldBytes()).toBe(0);
    });

    test.each([
        ["headers-too-large", "431", `GET / HTTP/1.1\r\nx: ${"y".repeat(20_000)}\r\n\r\n`],
        ["malformed", "400", "?\r\n\r\n"],
    ])("counts %s and answers with %s", async (cause, status, text) => {
        const { open, countRefusals } = await startServer();
        const client = await open();
        client.socket.write(text);
        await waitUntil(() => client.isClosed());
        expect(client.received()).toMatch(new RegExp(`^HTTP/1\\.1 ${status} `));
        expect(countRefusals(cause)).toBe(1);
    });

    test.each([
        ["headers", `${post}x`],
        ["a body", `${post}content-length: 10\r\n\r\nx`],
    ])("ends the time for %s however slowly it is sent", async (_, text) => {
        const { open, countRefusals } = await startServer({ headersTimeoutMs: 500, requestTimeoutMs: 600 });
        const client = await open();
        client.socket.write(text);
        const timer = setInterval(() => client.socket.destroyed || client.socket.write(""), 50);
        await waitUntil(() => client.isClosed());
        clearInterval(timer);
        expect(client.received()).toMatch(/^HTTP\/1\.1 408 /);
        expect(countRefusals("timeout")).toBe(1);
    });

    // Idle connections and a request in progress must not keep a process from its end.
    test("lets its server close once the requests in progress are answered", async () => {
        const { server, open, slow } = await startServer();
        await open();
        const client = await open();
        client.socket.write(getRequest("/slow"));
        await waitUntil(() => slow.length === 1);
        let isClosed = false;
        server.close(() => isClosed = true);
        server.closeIdleConnections();
        slow[0]!.writeHead(200, { connection: "close" }).end("done");
        await waitUntil(() => client.isClosed());
        expect(client.received()).toContain("done");
        server.closeAllConnections();
        await waitUntil(() => isClosed);
    });
});
