/** Runs some of the other entries of the zone, which make calls to workers for the owner. */

import { newSystemClock, newSystemTimers } from "@anvilmux/common";
import { WorkerRelay } from "@anvilmux/dispatch";
import type { FromPeer, ToPeer } from "@anvilmux/fleet";
import { ChannelChecker, LinkServer } from "@anvilmux/links";
import type { Session } from "@anvilmux/links";
import { connectHttpWorker } from "@anvilmux/platform";
import { newSilentLogger } from "@anvilmux/telemetry";
import type { FromRelays, RelaysArguments } from "./dispatchMessages";

/** Runs until the process that started this one disconnects or ends. */
export const runRelays = async (text: string): Promise<void> => {
    const { count } = JSON.parse(text) as RelaysArguments;
    const environment = { clock: newSystemClock(), timers: newSystemTimers(), logger: newSilentLogger() };
    const checker = new ChannelChecker(environment.clock, environment.timers, () => undefined);
    const servers = await Promise.all(Array.from({ length: count }, () => {
        const relay = new WorkerRelay({ connect: connectHttpWorker, ...environment });
        return LinkServer.listen<ToPeer, FromPeer>(environment, {
            host: "127.0.0.1",
            port: 0,
            checker,
            accept: connection => newSession(relay, connection.send),
        });
    }));
    process.on("disconnect", () => process.exit(0));
    const message: FromRelays = { type: "listening", addresses: servers.map(server => server.address) };
    process.send?.(message);
};

const newSession = (relay: WorkerRelay, reply: (message: FromPeer) => void): Session<ToPeer> => ({
    onMessage: message => {
        if (message.type === "worker-call") {
            const { number } = message;
            void relay.handle(message, answer => reply({ type: "worker-answer", number, answer }));
        }
    },
    onClose: () => undefined,
});
