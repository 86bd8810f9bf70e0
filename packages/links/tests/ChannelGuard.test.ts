/** What an accepted connection may occupy, and how long it may take to say who it is, on virtual time. */

import type { RefusalCause } from "@anvilmux/intake";
import {
    Channel,
    ChannelChecker,
    freeCharacters,
    identificationTimeoutMs,
    lineTimeoutMs,
    maximumFirstLineCharacters,
    maximumProbeLines,
} from "@anvilmux/links";
import { EventEmitter } from "node:events";
import type { Socket } from "node:net";
import { StallingTime } from "./StallingTime";

class FakeSocket extends EventEmitter {
    writableLength = 0;
    isRead = true;

    setNoDelay(): void {}

    write(text: string): boolean {
        this.writableLength += this.isRead ? 0 : text.length;
        return this.isRead;
    }

    destroy(): void {}
}

const newFixture = (limitBytes: number) => {
    const time = new StallingTime();
    const socket = new FakeSocket();
    const closed: string[] = [];
    const refusals: RefusalCause[] = [];
    const state = { isIdentified: false, held: 0 };
    const channel = new Channel(socket as unknown as Socket, time, {
        onMessage: () => state.isIdentified = true,
        onClose: reason => closed.push(reason),
    }, {
        isIdentified: () => state.isIdentified,
        lineTimeoutMs,
        charge: bytes => {
            const fits = state.held + bytes <= limitBytes;
            state.held += fits ? bytes : 0;
            return fits;
        },
        release: bytes => state.held -= bytes,
        onRefuse: cause => refusals.push(cause),
    });
    const checker = new ChannelChecker(time, time, () => undefined);
    checker.add(channel);
    const receive = (text: string) => void socket.emit("data", Buffer.from(text));
    /** Lets time pass while the peer answers probes. */
    const pass = async (ms: number) => {
        for (let passed = 0; passed < ms; passed += 100) {
            await time.advance(100);
            receive("\n");
        }
    };
    return { time, socket, channel, closed, refusals, state, receive, pass };
};

const message = "{\"type\":\"hello\"}\n";

describe("an accepted connection", () => {
    test("stays open without saying who it is, as it answers probes", async () => {
        const { closed, refusals, pass } = newFixture(1_000);
        await pass(identificationTimeoutMs + 200);
        expect(closed).toHaveLength(1);
        expect(refusals).toEqual(["unknown-peer"]);
    });

    test("is closed although it has said who it is", async () => {
        const { closed, receive, pass } = newFixture(1_000);
        receive(message);
        await pass(2 * identificationTimeoutMs);
        expect(closed).toEqual([]);
    });

    // The message was waiting to be read for as long as this process did not run.
    test("is closed for a stall of this process", async () => {
        const { time, closed, receive } = newFixture(1_000);
        time.stall(2 * identificationTimeoutMs);
        await time.advance(200);
        receive(message);
        await time.advance(200);
        expect(closed).toEqual([]);
    });

    test("sends a long line before it has said who it is", () => {
        const { closed, refusals, receive } = newFixture(1_000_000);
        receive("x".repeat(maximumFirstLineCharacters + 1));
        expect(closed).toEqual(["line too long"]);
        expect(refusals).toEqual(["too-large"]);
    });

    test("occupies more for its line than is left, or what is charged for it is not released", () => {
        const { closed, refusals, receive, state } = newFixture(1_000);
        receive(message);
        receive("x".repeat(freeCharacters + 900));
        expect(state.held).toBe(900);
        receive("\n");
        expect(closed).toEqual([`unreadable line: ${"x".repeat(80)}`]);
        const other = newFixture(1_000);
        other.receive(message);
        other.receive(message.slice(0, -1).padEnd(freeCharacters + 900));
        expect(other.state.held).toBe(900);
        other.receive("\n");
        expect(other.state.held).toBe(0);
        other.receive("x".repeat(freeCharacters + 1_001));
        expect(other.closed).toEqual(["line too long for the memory that is left"]);
        expect([refusals, other.refusals]).toEqual([[], ["memory"]]);
    });

    test("is closed for a short line as others have used the memory up, although it has said who it is", () => {
        const { closed, receive, refusals } = newFixture(0);
        receive(message);
        receive("x".repeat(freeCharacters));
        expect(closed).toEqual([]);
        const stranger = newFixture(0);
        stranger.receive("x");
        expect(stranger.closed).toHaveLength(1);
        expect([refusals, stranger.refusals]).toEqual([[], ["memory"]]);
    });

    // An answer to each was kept until the end of the turn, and those of all connections together.
    test.each(["?", ""])("sends thousands of %j instead of a few", async line => {
        const { closed, receive, refusals, time } = newFixture(1_000_000);
        receive(message);
        receive(`${line}\n`.repeat(maximumProbeLines));
        await time.advance(200);
        receive(`${line}\n`.repeat(maximumProbeLines));
        expect(closed).toEqual([]);
        receive(`${line}\n`);
        expect(closed).toEqual(["too many probes"]);
        expect(refusals).toEqual(["malformed"]);
    });

    test("takes its time for a line, with a few bytes now and then", async () => {
        const { time, closed, receive } = newFixture(1_000);
        receive(message);
        for (let passed = 0; passed <= lineTimeoutMs; passed += 100) {
            receive("x");
            await time.advance(100);
        }
        expect(closed).toEqual([`line not complete within ${lineTimeoutMs} ms`]);
    });

    test("does not read what it is sent, and occupies more than is left", async () => {
        const { socket, channel, closed, refusals, receive, state, time } = newFixture(1_000);
        receive(message);
        socket.isRead = false;
        channel.send({ type: "x".repeat(freeCharacters + 500) });
        await time.advance(1);
        expect(state.held).toBeGreaterThan(500);
        socket.writableLength = 0;
        socket.emit("drain");
        expect(state.held).toBe(0);
        channel.send({ type: "x".repeat(freeCharacters + 500) });
        await time.advance(1);
        channel.send({ type: "x".repeat(900) });
        await time.advance(1);
        expect(closed).toEqual(["the peer reads too slowly"]);
        expect(refusals).toEqual(["unread-responses"]);
    });
});
