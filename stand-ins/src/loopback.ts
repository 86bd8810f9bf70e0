/** Helpers for instances and stand-ins that run on loopback. */

import { createServer } from "node:net";
import type { AddressInfo } from "node:net";

/** Ports that were free when checked; another process may take one before its use. */
export const findFreePorts = async (count: number): Promise<readonly number[]> => {
    const servers = await Promise.all(Array.from({ length: count }, async () => {
        const server = createServer();
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        return server;
    }));
    const ports = servers.map(server => (server.address() as AddressInfo).port);
    await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))));
    return ports;
};

export const findFreePort = async (): Promise<number> => (await findFreePorts(1))[0]!;

const pollMs = 5;

/** Polls a condition until it holds, without a timeout. */
export const waitUntil = async (condition: () => boolean): Promise<void> => {
    while (!condition()) {
        await new Promise(resolve => setTimeout(resolve, pollMs));
    }
};
