/** What an owner knows of the owners of other zones, over loopback. */

import { findFreePort, waitUntil } from "@anvilmux/stand-ins";
import { newOwnerLinks } from "./loopback";
import { listenRaw } from "./rawPeers";

const cleanups: (() => void)[] = [];
afterEach(() => cleanups.splice(0).reverse().forEach(cleanup => cleanup()));

const room = JSON.stringify({ type: "room", free: { desk: [16_000] } });

// The system of an owner that does not run accepts connections for it.
test(
    "nothing is forwarded to an owner that has reported no free capacity since its connection was closed",
    async () => {
        const port = await findFreePort();
        const owners = await listenRaw(port, cleanups);
        const links = newOwnerLinks(port, cleanups);
        const getFree = () => links.getRemoteSchedulers().map(({ free }) => free);
        await waitUntil(() => owners.length === 1);
        owners[0]!.send(room);
        await waitUntil(() => getFree().some(free => "desk" in free));
        owners[0]!.close();
        await waitUntil(() => owners.length === 2 && links.getRemoteSchedulers().length === 1);
        expect(getFree()).toEqual([{}]);
        owners[1]!.send(room);
        await waitUntil(() => getFree().some(free => "desk" in free));
    },
    30_000,
);
