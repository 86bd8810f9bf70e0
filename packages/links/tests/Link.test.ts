/** The client end of a connection: addresses that cannot be connected to, on virtual time. */

import { toAddress, VirtualTime } from "@anvilmux/common";
import { ChannelChecker, Link, maximumReconnectDelayMs } from "@anvilmux/links";
import type { OpenSocket } from "@anvilmux/links";
import { newSilentLogger } from "@anvilmux/telemetry";
import { connect } from "node:net";

const newFixture = (address: string, openSocket: OpenSocket | undefined) => {
    const time = new VirtualTime();
    const calls = { unreachable: 0 };
    const link = new Link({ clock: time, timers: time, logger: newSilentLogger() }, {
        address: toAddress(address),
        checker: new ChannelChecker(time, time, () => undefined),
        openSocket,
        onOpen: () => undefined,
        onMessage: () => undefined,
        onClose: () => undefined,
        onUnreachable: () => calls.unreachable += 1,
    });
    return { time, link, calls };
};

describe("an address that cannot be connected to", () => {
    test.each(["10.0.0.1:99999", "10.0.0.1:-1", "10.0.0.1:x", "10.0.0.1:1e300", ":99999"])(
        "ends the process instead of counting as unreachable: %j",
        async address => {
            const { time, link, calls } = newFixture(address, undefined);
            expect(link.isOpen).toBe(false);
            await time.advance(1);
            expect(calls.unreachable).toBe(1);
            link.stop();
        },
    );

    test("ends the process at a later attempt", async () => {
        let attempts = 0;
        const { time, link, calls } = newFixture("10.0.0.1:1", () => {
            attempts += 1;
            return connect(99_999, "10.0.0.1");
        });
        await time.advance(3 * maximumReconnectDelayMs);
        expect(attempts).toBeGreaterThan(2);
        expect(calls.unreachable).toBe(attempts);
        link.stop();
        const attemptsBefore = attempts;
        await time.advance(3 * maximumReconnectDelayMs);
        expect(attempts).toBe(attemptsBefore);
    });
});
