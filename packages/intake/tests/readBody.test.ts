/** The reader of bodies: the same bytes and bounded memory however a body is cut. */

import { BodyError, readBodyInto } from "@anvilmux/intake";
import type { BodyHost, RefusalCause } from "@anvilmux/intake";
import { waitUntil } from "@anvilmux/stand-ins";
import fc from "fast-check";
import type { IncomingMessage } from "node:http";
import { PassThrough } from "node:stream";
import { closeServers, postChunked, startServer, toChunk } from "./startServer";

afterEach(closeServers);

const limit = 50_000;

const newHost = () => {
    const state = {
        held: 0,
        peak: 0,
        open: 0,
        refusals: [] as RefusalCause[],
        isFull: false,
        isFragmentedTaken: false,
    };
    const host: BodyHost = {
        charge: bytes => {
            if (state.isFull) {
                return "memory";
            }
            state.held += bytes;
            state.peak = Math.max(state.peak, state.held);
            return undefined;
        },
        release: bytes => state.held -= bytes,
        admitFragmented: () => !state.isFragmentedTaken,
        countFragments: () => undefined,
        begin: () => {
            state.open += 1;
            return () => state.open -= 1;
        },
        refuse: cause => state.refusals.push(cause),
    };
    return { state, host };
};

const newRequest = (contentLength?: number) => {
    const stream = new PassThrough();
    const headers = contentLength === undefined ? {} : { "content-length": String(contentLength) };
    return { stream, request: Object.assign(stream, { headers }) as unknown as IncomingMessage };
};

const cut = (body: Buffer, positions: readonly number[]): readonly Buffer[] => {
    const bounds = [0, ...positions.map(position => position % (body.length + 1)).sort((a, b) => a - b), body.length];
    return bounds.slice(1).map((end, index) => body.subarray(bounds[index], end));
};

const newBody = (length: number): Buffer => Buffer.from(Array.from({ length }, (_, index) => index * 31 % 251));

describe("the reader of bodies", () => {
    test("returns the same bytes for every split, and charges at most two buffers of twice their size", async () => {
        const splits = fc.array(fc.nat(limit), { maxLength: 200 });
        await fc.assert(
            fc.asyncProperty(fc.nat(limit), splits, fc.boolean(), async (length, positions, isAnnounced) => {
                const body = newBody(length);
                const { state, host } = newHost();
                const { stream, request } = newRequest(isAnnounced ? length : undefined);
                const read = readBodyInto(request, limit, host);
                cut(body, positions).forEach(part => stream.write(part));
                stream.end();
                expect((await read).equals(body)).toBe(true);
                expect(state.peak).toBeLessThanOrEqual(2 * Math.min(limit, Math.max(4_096, 2 * length)));
                expect(state.open).toBe(0);
                expect(state.refusals).toEqual([]);
            }),
            { seed: 11, numRuns: 200 },
        );
    });

    // A client within the limits may send any chunks, so a single one of them is served also with the smallest.
    test("takes a body of the largest size in chunks of one byte", async () => {
        const { host } = newHost();
        const { stream, request } = newRequest();
        const body = newBody(limit);
        const read = readBodyInto(request, limit, host);
        for (const byte of body) {
            stream.write(Buffer.from([byte]));
        }
        stream.end();
        expect((await read).equals(body)).toBe(true);
    });

    test.each([
        ["too-large", "announced", { announced: limit + 1 }],
        ["too-large", "sent", { sent: limit + 1 }],
        ["busy", "charged", { sent: 100, isFull: true }],
    ])("refuses with %s by the size that is %s, and holds nothing", async (code, _, options) => {
        const { announced, sent, isFull } = { announced: undefined, sent: 0, isFull: false, ...options };
        const { state, host } = newHost();
        state.isFull = isFull;
        const { stream, request } = newRequest(announced);
        const read = readBodyInto(request, limit, host);
        read.catch(() => undefined);
        for (let written = 0; written < sent; written += 1_000) {
            stream.write(newBody(Math.min(1_000, sent - written)));
        }
        await expect(read).rejects.toMatchObject({ code });
        expect(state).toMatchObject({ held: 0, open: 0 });
        expect(state.refusals).toEqual([isFull ? "memory" : "too-large"]);
    });

    // Many such bodies at a time would keep the event loop from everything else.
    test("refuses a body in very small chunks where enough of them are read already", async () => {
        const { state, host } = newHost();
        state.isFragmentedTaken = true;
        const { stream, request } = newRequest();
        const read = readBodyInto(request, limit, host);
        read.catch(() => undefined);
        for (let sent = 0; sent < 5_000; sent++) {
            stream.write("x");
        }
        await expect(read).rejects.toMatchObject({ code: "busy" });
        expect(state.refusals).toEqual(["fragmented"]);
    });

    test("rejects when the client closes the connection before the end", async () => {
        const { stream, request } = newRequest(100);
        const read = readBodyInto(request, limit, newHost().host);
        stream.write("x");
        stream.destroy();
        await expect(read).rejects.toBeInstanceOf(BodyError);
    });

    test("reads the same bytes through a server, however they are cut into chunks and writes", async () => {
        const { open, bodies, getHeldBytes } = await startServer();
        const client = await open();
        const body = newBody(20_000);
        const splits = fc.sample(fc.tuple(fc.array(fc.nat(20_000)), fc.array(fc.nat(30_000))), {
            seed: 3,
            numRuns: 20,
        });
        const atRest = getHeldBytes();
        for (const [chunkCuts, writeCuts] of splits) {
            const chunks = cut(body, chunkCuts).filter(part => part.length > 0).map(toChunk);
            const text = Buffer.concat([Buffer.from(postChunked), ...chunks, Buffer.from("0\r\n\r\n")]);
            const count = bodies.length + 1;
            for (const part of cut(text, writeCuts)) {
                client.socket.write(part);
                await new Promise(resolve => setImmediate(resolve));
            }
            await waitUntil(() => bodies.length === count);
        }
        expect(bodies.every(item => item.equals(body))).toBe(true);
        await waitUntil(() => getHeldBytes() === atRest);
    });
});
