/** Helpers for tests of persistent connections over loopback. */

import { newSystemClock, newSystemTimers, toAddress, toInstanceId, toZoneId } from "@anvilmux/common";
import type { Address } from "@anvilmux/common";
import { OwnerLinks } from "@anvilmux/fleet";
import type { EntryMember } from "@anvilmux/fleet";
import { ChannelChecker } from "@anvilmux/links";
import type { LinkEnvironment } from "@anvilmux/links";
import { newSilentLogger } from "@anvilmux/telemetry";
import type { Cleanups } from "./rawPeers";

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

/** What the owner of zone z1 knows of the owner of zone z2, which listens on `port`. */
export const newOwnerLinks = (port: number, cleanups: Cleanups): OwnerLinks => {
    const environment = newEnvironment();
    const checker = newChecker(environment);
    const links = new OwnerLinks({
        self: newMember("a", "z1", 1),
        checker,
        environment,
        onAnswer: () => undefined,
        onOwnerDisconnected: () => undefined,
        hasRemoteTasks: () => false,
    });
    cleanups.push(() => checker.stop(), () => links.stop());
    links.handleOwners([{ member: newMember("b", "z2", port), claim: 1 }]);
    return links;
};
