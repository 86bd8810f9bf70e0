/** Work put off to the end of a turn of the event loop, and waits for the next look for input. */

import { atTurnEnd, untilNextPoll } from "@anvilmux/common";
import { once } from "node:events";
import { connect, createServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";

const turn = (): Promise<void> => new Promise(resolve => setImmediate(resolve));

test("work put off to the end of a turn runs once, in the order in which it was put off", async () => {
    const called: string[] = [];
    atTurnEnd(() => called.push("a"));
    atTurnEnd(() => called.push("b"));
    expect(called).toEqual([]);
    await turn();
    await turn();
    expect(called).toEqual(["a", "b"]);
});

test("work that is put off while other work runs is left for the next turn", async () => {
    const called: string[] = [];
    atTurnEnd(() => {
        called.push("first");
        atTurnEnd(() => called.push("second"));
    });
    await turn();
    expect(called).toEqual(["first"]);
    await turn();
    expect(called).toEqual(["first", "second"]);
});

test("waits that begin in one turn are one wait, and later ones are another", async () => {
    const first = untilNextPoll();
    expect(untilNextPoll()).toBe(first);
    await first;
    expect(untilNextPoll()).not.toBe(first);
});

test("what the waiting code puts off runs as soon as all of it has gone on", async () => {
    const called: string[] = [];
    const wait = async (name: string): Promise<void> => {
        await untilNextPoll();
        called.push(name);
        atTurnEnd(() => called.push(`end of ${name}`));
    };
    await Promise.all([wait("a"), wait("b")]);
    await new Promise(resolve => process.nextTick(resolve));
    expect(called).toEqual(["a", "b", "end of a", "end of b"]);
});

test("the end of a connection that had arrived with data is read before a wait is over", async () => {
    const sockets: Socket[] = [];
    const server = createServer({ allowHalfOpen: true }, socket => sockets.push(socket)).listen(0, "127.0.0.1");
    await once(server, "listening");
    const client = connect((server.address() as AddressInfo).port, "127.0.0.1");
    await once(server, "connection");
    const [accepted] = sockets as [Socket];
    const ended = new Promise<boolean>(resolve =>
        accepted.once("data", () => void untilNextPoll().then(() => resolve(accepted.readableEnded)))
    );
    client.end("request");
    expect(await ended).toBe(true);
    accepted.destroy();
    server.close();
});
