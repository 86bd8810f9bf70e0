/** Persistent connections: lines, heartbeats, timeouts, stalls of this process and malformed input, on virtual time. */

import { VirtualTime } from "@anvilmux/common";
import {
    Channel,
    ChannelChecker,
    doubtfulSilenceMs,
    heartbeatTimeoutMs,
    idleHeartbeatPeriodMs,
    idleHeartbeatTimeoutMs,
} from "@anvilmux/links";
import type { ChannelListener, LinkMessage } from "@anvilmux/links";
import { EventEmitter } from "node:events";
import type { Socket } from "node:net";
import { StallingTime } from "./StallingTime";

/** A socket that records writes and whose input is emitted by the test. */
class FakeSocket extends EventEmitter {
    readonly written: string[] = [];
    writableLength = 0;
    destroyed = false;

    setNoDelay(): void {}

    write(text: string): boolean {
        this.written.push(text);
        return true;
    }

    destroy(): void {
        this.destroyed = true;
    }
}

interface TextMessage extends LinkMessage {
    readonly text: string;
}

const newFixture = (options: Partial<ChannelListener<TextMessage>> = {}) => {
    const time = new VirtualTime();
    const socket = new FakeSocket();
    const received: TextMessage[] = [];
    const closed: string[] = [];
    const channel = new Channel<TextMessage, TextMessage>(socket as unknown as Socket, time, {
        onMessage: message => received.push(message),
        onClose: reason => closed.push(reason),
        ...options,
    });
    const stalls: number[] = [];
    const checker = new ChannelChecker(time, time, stall => stalls.push(stall));
    checker.add(channel);
    return { time, socket, received, closed, channel, stalls };
};

describe("channel", () => {
    test("messages of one turn are sent in one write and decoded from chunks of single bytes", async () => {
        const { time, socket, channel, received } = newFixture();
        channel.send({ type: "note", text: "ä" });
        channel.send({ type: "note", text: "b" });
        await time.advance(1);
        expect(socket.written).toHaveLength(1);
        const bytes = Buffer.from(socket.written[0]!);
        bytes.forEach(byte => socket.emit("data", Buffer.from([byte])));
        expect(received.map(message => message.text)).toEqual(["ä", "b"]);
    });

    test("what was sent in the same turn is written before a channel finishes, and dropped when it is closed", async () => {
        const [finished, closed] = [newFixture(), newFixture()];
        finished.channel.send({ type: "note", text: "a" });
        finished.channel.finish("stopped");
        closed.channel.send({ type: "note", text: "a" });
        closed.channel.close("silent");
        await finished.time.advance(1);
        expect(finished.socket.written).toEqual(["{\"type\":\"note\",\"text\":\"a\"}\n"]);
        expect([finished.socket.destroyed, finished.closed]).toEqual([true, ["stopped"]]);
        expect(closed.socket.written).toEqual([]);
    });

    test("an urgent channel probes its peer, and is closed once when it receives nothing", async () => {
        const { time, socket, closed, channel } = newFixture();
        await time.advance(heartbeatTimeoutMs - 100);
        expect(socket.written.every(text => text === "?\n")).toBe(true);
        expect(socket.written.length).toBeGreaterThan(1);
        expect(channel.isOpen).toBe(true);
        await time.advance(500);
        expect(closed).toHaveLength(1);
        expect(closed[0]).toContain("received nothing");
    });

    test("a channel that is not urgent probes its peer seldom, and is closed later", async () => {
        const { time, socket, closed, channel } = newFixture({ isUrgent: () => false });
        await time.advance(idleHeartbeatPeriodMs + 150);
        expect(socket.written).toEqual(["?\n"]);
        expect(channel.isOpen).toBe(true);
        await time.advance(idleHeartbeatTimeoutMs);
        expect(closed).toHaveLength(1);
    });

    test("a channel that becomes urgent after a pause is closed only when a probe gets no answer in time", async () => {
        let isUrgent = false;
        const { time, socket, channel } = newFixture({ isUrgent: () => isUrgent });
        await time.advance(900);
        isUrgent = true;
        await time.advance(200);
        expect(socket.written).toEqual(["?\n"]);
        socket.emit("data", Buffer.from("\n"));
        await time.advance(heartbeatTimeoutMs - 100);
        expect(channel.isOpen).toBe(true);
        await time.advance(300);
        expect(channel.isOpen).toBe(false);
    });

    test("a probe is answered, and the answer is not answered again", async () => {
        const { time, socket, received } = newFixture();
        socket.emit("data", Buffer.from("?\n"));
        await time.advance(1);
        expect(socket.written).toEqual(["\n"]);
        socket.emit("data", Buffer.from("\n"));
        await time.advance(1);
        expect(socket.written).toEqual(["\n"]);
        expect(received).toEqual([]);
    });

    test("heartbeats of the peer keep a channel open", async () => {
        const { time, socket, channel } = newFixture();
        for (let heartbeat = 0; heartbeat < 30; heartbeat++) {
            await time.advance(100);
            socket.emit("data", Buffer.from("\n"));
        }
        expect(channel.isOpen).toBe(true);
    });

    test.each(["{\"type\":", "nonsense", "{]"])("a line that is not valid JSON closes the channel: %s", async line => {
        const { socket, closed, received } = newFixture();
        socket.emit("data", Buffer.from(`${line}\n`));
        expect(closed[0]).toContain("unreadable");
        expect(received).toEqual([]);
    });

    test.each(["null", "3", "[]", "\"text\"", "{}", "{\"type\":1}"])(
        "a line that is not a message closes the channel: %s",
        async line => {
            const { socket, closed, received } = newFixture();
            socket.emit("data", Buffer.from(`${line}\n`));
            expect(closed[0]).toContain("unreadable");
            expect(received).toEqual([]);
        },
    );

    test("a message that cannot be handled closes the channel, and the process goes on", async () => {
        const { socket, closed } = newFixture({
            onMessage: () => {
                throw new TypeError("a field is missing");
            },
        });
        socket.emit("data", Buffer.from("{\"type\":\"note\"}\n{\"type\":\"note\"}\n"));
        expect(closed).toEqual(["message \"note\" failed: a field is missing"]);
    });

    test("the channel is closed when the peer does not read", async () => {
        const { time, socket, closed, channel } = newFixture();
        socket.writableLength = 1_000_000_000;
        channel.send({ type: "note", text: "x" });
        await time.advance(1);
        expect(closed[0]).toContain("too slowly");
    });
});

describe("the presence of a channel's peer", () => {
    const newWatchedFixture = () => {
        const present: string[] = [];
        const fixture = newFixture({
            isUrgent: () => false,
            onMessage: ({ text }) => fixture.channel.whenPeerPresent(() => present.push(text)),
        });
        const receive = (...lines: readonly string[]) =>
            fixture.socket.emit("data", Buffer.from(lines.map(line => `${line}\n`).join("")));
        return { ...fixture, present, receive };
    };
    const toLine = (text: string): string => JSON.stringify({ type: "note", text });

    test("is certain after the answer to one probe, for all messages before it, and then at once", async () => {
        const { time, socket, present, receive } = newWatchedFixture();
        receive(toLine("a"), toLine("b"));
        await time.advance(1);
        expect([present, socket.written]).toEqual([[], ["?\n"]]);
        receive("");
        expect(present).toEqual(["a", "b"]);
        receive(toLine("c"));
        await time.advance(1);
        expect([present, socket.written]).toEqual([["a", "b", "c"], ["?\n"]]);
    });

    test("is not shown by the answer to a probe that was sent before the message came", async () => {
        const { time, socket, present, receive } = newWatchedFixture();
        await time.advance(idleHeartbeatPeriodMs + 100);
        receive(toLine("a"));
        await time.advance(1);
        expect(socket.written).toEqual(["?\n", "?\n"]);
        receive("");
        expect(present).toEqual([]);
        receive("");
        expect(present).toEqual(["a"]);
    });

    test("is not shown by lines that answer no probe", () => {
        const { present, receive } = newWatchedFixture();
        receive("", "", "", toLine("a"));
        expect(present).toEqual([]);
        receive("");
        expect(present).toEqual(["a"]);
    });

    test("is in doubt for what comes after a silence, until a probe is answered", async () => {
        const { time, present, receive } = newWatchedFixture();
        receive(toLine("a"), "");
        await time.advance(doubtfulSilenceMs - 50);
        receive(toLine("b"));
        expect(present).toEqual(["a", "b"]);
        await time.advance(doubtfulSilenceMs + 50);
        // The answers to the two probes of the idle connection may be as old as the message.
        receive("", "", toLine("c"));
        receive(toLine("d"));
        expect(present).toEqual(["a", "b"]);
        receive("");
        expect(present).toEqual(["a", "b", "c", "d"]);
    });

    test("is in doubt after a silence that began while it was awaited", async () => {
        const { time, present, receive } = newWatchedFixture();
        receive(toLine("a"));
        await time.advance(doubtfulSilenceMs + 50);
        receive("", "");
        expect(present).toEqual([]);
        receive("");
        expect(present).toEqual(["a"]);
    });

    test("is shown for what came before a late answer, and stays in doubt for what comes after it", async () => {
        const { time, socket, present, receive } = newWatchedFixture();
        receive(toLine("a"));
        // A network that delays all: something arrives all the time, and all of it is old.
        for (let passed = 0; passed <= doubtfulSilenceMs; passed += 100) {
            await time.advance(100);
            receive(toLine("later"));
        }
        receive("");
        expect(present).toContain("a");
        const shown = present.length;
        receive(toLine("b"));
        expect(present).toHaveLength(shown);
        await time.advance(1);
        expect(socket.written.at(-1)).toBe("?\n");
        receive("");
        receive(toLine("c"));
        expect(present.slice(shown)).toEqual(["b", "c"]);
    });

    test("is in doubt after a late answer to a probe that nobody waits for", async () => {
        const { time, present, receive } = newWatchedFixture();
        receive(toLine("a"), "");
        await time.advance(idleHeartbeatPeriodMs + 100);
        for (let passed = 0; passed <= doubtfulSilenceMs; passed += 100) {
            receive(toLine("old"));
            await time.advance(100);
        }
        receive("");
        const shown = present.length;
        receive(toLine("b"));
        expect(present).toHaveLength(shown);
    });

    test("is never shown once the channel is closed", async () => {
        const { socket, present, receive } = newWatchedFixture();
        receive(toLine("a"));
        socket.emit("close");
        receive("");
        expect(present).toEqual([]);
    });
});

describe("channel checker", () => {
    test("a stall of this process does not close the channels to its peers", async () => {
        const time = new StallingTime();
        const socket = new FakeSocket();
        const closed: string[] = [];
        const stalls: number[] = [];
        const channel = new Channel<TextMessage, TextMessage>(socket as unknown as Socket, time, {
            onMessage: () => undefined,
            onClose: reason => closed.push(reason),
        });
        const checker = new ChannelChecker(time, time, stall => stalls.push(Math.round(stall)));
        checker.add(channel);
        await time.advance(100);
        time.stall(5_000);
        await time.advance(100);
        expect(closed).toEqual([]);
        expect(stalls).toEqual([5_000]);
        const present: boolean[] = [];
        channel.whenPeerPresent(() => present.push(true));
        expect(present).toEqual([]);
        await time.advance(1_000);
        expect(closed).toHaveLength(1);
    });
});
