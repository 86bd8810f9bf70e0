/** Held connections: lines, beats, silence, own stalls and unreadable input, on virtual time without a network. */

import { VirtualTime } from "@anvilmux/common";
import { Channel, ChannelChecker, silenceLimitMs } from "@anvilmux/links";
import type { LinkMessage } from "@anvilmux/links";
import { EventEmitter } from "node:events";
import type { Socket } from "node:net";

/** A socket whose writes are kept and whose input is given by the test. */
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

interface Note extends LinkMessage {
    readonly text: string;
}

const newWorld = () => {
    const time = new VirtualTime();
    const socket = new FakeSocket();
    const received: Note[] = [];
    const closed: string[] = [];
    const channel = new Channel<Note, Note>(socket as unknown as Socket, time, {
        onMessage: message => received.push(message),
        onClose: reason => closed.push(reason),
    });
    const stalls: number[] = [];
    const checker = new ChannelChecker(time, time, stall => stalls.push(stall));
    checker.add(channel);
    return { time, socket, received, closed, channel, stalls };
};

describe("channel", () => {
    test("messages of one turn leave in one write, and arrive however they are cut", async () => {
        const { time, socket, channel, received } = newWorld();
        channel.send({ type: "note", text: "ä" });
        channel.send({ type: "note", text: "b" });
        await time.advance(1);
        expect(socket.written).toHaveLength(1);
        const bytes = Buffer.from(socket.written[0]!);
        bytes.forEach(byte => socket.emit("data", Buffer.from([byte])));
        expect(received.map(note => note.text)).toEqual(["ä", "b"]);
    });

    test("an idle channel sends beats, and one that hears nothing is closed once", async () => {
        const { time, socket, closed, channel } = newWorld();
        await time.advance(silenceLimitMs - 100);
        expect(socket.written.every(text => text === "\n")).toBe(true);
        expect(socket.written.length).toBeGreaterThan(1);
        expect(channel.isOpen).toBe(true);
        await time.advance(500);
        expect(closed).toHaveLength(1);
        expect(closed[0]).toContain("silent");
    });

    test("beats of the peer keep it open", async () => {
        const { time, socket, channel } = newWorld();
        for (let beat = 0; beat < 30; beat++) {
            await time.advance(100);
            socket.emit("data", Buffer.from("\n"));
        }
        expect(channel.isOpen).toBe(true);
    });

    test.each(["{\"type\":", "nonsense", "{]"])("a line that cannot be read closes it: %s", async line => {
        const { socket, closed, received } = newWorld();
        socket.emit("data", Buffer.from(`${line}\n`));
        expect(closed[0]).toContain("unreadable");
        expect(received).toEqual([]);
    });

    test("a peer that does not read is given up", async () => {
        const { time, socket, closed, channel } = newWorld();
        socket.writableLength = 1_000_000_000;
        channel.send({ type: "note", text: "x" });
        await time.advance(1);
        expect(closed[0]).toContain("too slowly");
    });
});

/** A clock that can jump while no timer fires, as when the process stood still. */
class StallingTime extends VirtualTime {
    private lost = 0;

    override now(): number {
        return super.now() + this.lost;
    }

    stall(length: number): void {
        this.lost += length;
    }
}

describe("channel checker", () => {
    test("after a stall of this process its peers are not taken for silent", async () => {
        const time = new StallingTime();
        const socket = new FakeSocket();
        const closed: string[] = [];
        const stalls: number[] = [];
        const channel = new Channel<Note, Note>(socket as unknown as Socket, time, {
            onMessage: () => undefined,
            onClose: reason => closed.push(reason),
        });
        new ChannelChecker(time, time, stall => stalls.push(Math.round(stall))).add(channel);
        await time.advance(100);
        time.stall(5_000);
        await time.advance(100);
        expect(closed).toEqual([]);
        expect(stalls).toEqual([5_000]);
        await time.advance(1_000);
        expect(closed).toHaveLength(1);
    });
});
