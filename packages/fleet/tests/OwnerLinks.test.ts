/** What an owner knows of the owners of other zones, over loopback. */

import { toZoneId } from "@anvilmux/common";
import { OwnerLinks } from "@anvilmux/fleet";
import { waitUntil } from "@anvilmux/stand-ins";
import { createServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";
import { newChecker, newEnvironment, newMember } from "./loopback";

const cleanups: (() => void)[] = [];
afterEach(() => cleanups.splice(0).reverse().forEach(cleanup => cleanup()));

const room = { type: "room", free: { desk: [16_000] } };

/** Accepts connections of owners of other zones, the latest last. */
const listenAsOwner = async () => {
    const sockets: Socket[] = [];
    const server = createServer(socket => {
        socket.on("error", () => undefined);
        sockets.push(socket);
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    cleanups.push(() => server.close(), () => sockets.forEach(socket => socket.destroy()));
    return { sockets, port: (server.address() as AddressInfo).port };
};

const startLinks = (ownerPort: number): OwnerLinks => {
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
    links.handleOwners([{ member: { ...newMember("b", "z2", ownerPort), zone: toZoneId("z2") }, claim: 1 }]);
    cleanups.push(() => checker.stop(), () => links.stop());
    return links;
};

// The system of an owner that does not run accepts connections for it.
test(
    "nothing is forwarded to an owner that has reported no free capacity since its connection was closed",
    async () => {
        const { sockets, port } = await listenAsOwner();
        const links = startLinks(port);
        const getFree = () => links.getRemoteSchedulers().map(({ free }) => free);
        await waitUntil(() => sockets.length === 1);
        sockets[0]!.write(`${JSON.stringify(room)}\n`);
        await waitUntil(() => getFree().some(free => "desk" in free));
        sockets[0]!.destroy();
        await waitUntil(() => sockets.length === 2 && links.getRemoteSchedulers().length === 1);
        expect(getFree()).toEqual([{}]);
        sockets[1]!.write(`${JSON.stringify(room)}\n`);
        await waitUntil(() => getFree().some(free => "desk" in free));
    },
    30_000,
);
