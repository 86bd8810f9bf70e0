/** Helpers for tests of persistent connections over loopback. */

import { newSystemClock, newSystemTimers, toAddress, toInstanceId, toZoneId } from "@anvilmux/common";
import type { Address } from "@anvilmux/common";
import type { EntryMember } from "@anvilmux/fleet";
import { ChannelChecker } from "@anvilmux/links";
import type { LinkEnvironment } from "@anvilmux/links";
import { newSilentLogger } from "@anvilmux/telemetry";

export const newEnvironment = (): LinkEnvironment => ({
    clock: newSystemClock(),
    timers: newSystemTimers(),
    logger: newSilentLogger(),
});

export const newChecker = ({ clock, timers }: LinkEnvironment): ChannelChecker =>
    new ChannelChecker(clock, timers, () => undefined);

export const toLoopback = (port: number): Address => toAddress(`127.0.0.1:${port}`);

export const newMember = (id: string, zone: string, port: number): EntryMember => ({
    id: toInstanceId(id),
    incarnation: 1,
    zone: toZoneId(zone),
    address: toLoopback(port),
});
