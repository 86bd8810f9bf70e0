/** The forwarder: what arrives, in which order, and what is held while a fault lasts. */

import { toAddress } from "@anvilmux/common";
import { findFreePorts, waitUntil } from "@anvilmux/stand-ins";
import { once } from "node:events";
import { connect, createServer } from "node:net";
import type { Socket } from "node:net";
import { findConnectionSource } from "../src/findConnectionSource";
import { Forwarder } from "../src/Forwarder";
import type { ActiveFault } from "../src/Forwarder";
import type { NetworkFault } from "../src/types";

const cleanups: (() => void)[] = [];
afterEach(() => cleanups.splice(0).reverse().forEach(cleanup => cleanup()));

const startFixture = async () => {
    const [from, to] = await findFreePorts(2) as [number, number];
    const accepted: Socket[] = [];
    const texts: string[] = [];
    const server = createServer({ allowHalfOpen: true }, socket => {
        const index = accepted.push(socket) - 1;
        texts.push("");
        socket.on("error", () => undefined);
        socket.on("data", bytes => texts[index] += String(bytes));
        socket.on("end", () => texts[index] += "|");
    }).listen(to, "127.0.0.1");
    await once(server, "listening");
    const forwarder = new Forwarder({
        name: "target",
        from: toAddress(`127.0.0.1:${from}`),
        to: toAddress(`127.0.0.1:${to}`),
        findSource: (port, forwarderPort) =>
            findConnectionSource(port, forwarderPort, new Map([["here", process.pid]])),
    });
    await forwarder.listen();
    const open = async (): Promise<Socket> => {
        const socket = connect(from, "127.0.0.1");
        socket.on("error", () => undefined);
        cleanups.push(() => socket.destroy());
        await once(socket, "connect");
        const count = accepted.length + 1;
        await waitUntil(() => accepted.length >= count);
        return socket;
    };
    cleanups.push(() => server.close(), () => accepted.forEach(socket => socket.destroy()), () => forwarder.close());
    return { forwarder, accepted, texts, open };
};

const newFault = (fault: NetworkFault, appliesTo: ActiveFault["appliesTo"] = () => true): ActiveFault => ({
    fault,
    appliesTo,
});

test("bytes and the end of a connection that are held arrive together once the fault is over", async () => {
    const { forwarder, texts, open } = await startFixture();
    const caller = await open();
    caller.write("a");
    await waitUntil(() => texts[0] === "a");
    const fault = newFault({ kind: "hold", direction: "both" });
    forwarder.begin(fault);
    caller.write("b");
    caller.end("c");
    const other = await open();
    other.write("x");
    await new Promise(resolve => setTimeout(resolve, 50));
    expect(texts).toEqual(["a", ""]);
    forwarder.end(fault);
    await waitUntil(() => texts[0] === "abc|" && texts[1] === "x");
});

test("one direction can be held alone, and only for the connections that the fault is about", async () => {
    const { forwarder, accepted, texts, open } = await startFixture();
    const [held, free] = [await open(), await open()];
    let received = "";
    held.on("data", bytes => received += String(bytes));
    let isFirst = true;
    const first = new Set<unknown>();
    const fault = newFault({ kind: "hold", direction: "forward" }, connection => {
        if (isFirst) {
            first.add(connection);
            isFirst = false;
        }
        return first.has(connection);
    });
    forwarder.begin(fault);
    held.write("a");
    free.write("b");
    accepted[0]!.write("back");
    await waitUntil(() => received === "back" && texts[1] === "b");
    expect(texts[0]).toBe("");
});

test("delayed bytes keep their order, and the end comes last", async () => {
    const { forwarder, texts, open } = await startFixture();
    const caller = await open();
    const fault = newFault({ kind: "delay", delayMs: 60 });
    forwarder.begin(fault);
    caller.write("a");
    await new Promise(resolve => setTimeout(resolve, 20));
    expect(texts[0]).toBe("");
    forwarder.end(fault);
    caller.end("b");
    await waitUntil(() => texts[0] === "ab|");
});

test("a silent connection stays silent after the fault, and a new one works", async () => {
    const { forwarder, texts, open } = await startFixture();
    const silent = await open();
    const fault = newFault({ kind: "silence" });
    forwarder.begin(fault);
    forwarder.end(fault);
    silent.write("a");
    const fresh = await open();
    fresh.write("b");
    await waitUntil(() => texts[1] === "b");
    expect(texts[0]).toBe("");
});

test("a reset closes the connections", async () => {
    const { forwarder, open } = await startFixture();
    const caller = await open();
    const closed = once(caller, "close");
    forwarder.begin(newFault({ kind: "reset" }));
    await closed;
});

test("the process that opened a connection is told by its port", async () => {
    const { forwarder, open } = await startFixture();
    await open();
    const sources: (string | undefined)[] = [];
    forwarder.begin(newFault({ kind: "reset" }, connection => sources.push(connection.source) === 0));
    expect(sources).toEqual(["here"]);
});
