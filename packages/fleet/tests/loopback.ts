/** Helpers for tests of held connections over loopback. */

import { newSystemTimers, toAddress, toInstanceId, toZoneId } from "@anvilmux/common";
import type { Address, Milliseconds } from "@anvilmux/common";
import type { EntryMember } from "@anvilmux/fleet";
import { ChannelChecker } from "@anvilmux/links";
import type { LinkEnvironment } from "@anvilmux/links";
import { newSilentLogger } from "@anvilmux/telemetry";
import { createServer } from "node:net";
import type { AddressInfo } from "node:net";

const pollMs: Milliseconds = 5;

export const newEnvironment = (): LinkEnvironment => ({
    clock: { now: () => performance.now(), wallNow: () => Date.now() },
    timers: newSystemTimers(),
    logger: newSilentLogger(),
});

export const newChecker = ({ clock, timers }: LinkEnvironment): ChannelChecker =>
    new ChannelChecker(clock, timers, () => undefined);

export const findFreePort = (): Promise<number> =>
    new Promise(resolve => {
        const server = createServer();
        server.listen(0, "127.0.0.1", () => {
            const { port } = server.address() as AddressInfo;
            server.close(() => resolve(port));
        });
    });

export const toLoopback = (port: number): Address => toAddress(`127.0.0.1:${port}`);

export const newMember = (id: string, zone: string, port: number): EntryMember => ({
    id: toInstanceId(id),
    incarnation: 1,
    zone: toZoneId(zone),
    address: toLoopback(port),
});

export const waitFor = async (condition: () => boolean): Promise<void> => {
    while (!condition()) {
        await new Promise(resolve => setTimeout(resolve, pollMs));
    }
};
