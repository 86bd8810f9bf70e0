/** Loopback networks for plays: each play at a time on this machine has one of its own. */

import { createServer } from "node:net";
import type { Server } from "node:net";

/** Second numbers of the loopback addresses that plays use. */
const firstNetwork = 60;
const lastNetwork = 250;
/** Held open by the play that has the network. */
const reservationPort = 7_410;

/** A network that no other play has; it stays reserved until this process ends. */
export const reserveNetwork = async (): Promise<number> => {
    for (let network = firstNetwork; network <= lastNetwork; network++) {
        if (await reserve(`127.${network}.250.1`)) {
            return network;
        }
    }
    throw new Error("all loopback networks are in use");
};

/** False when another process listens there. */
const reserve = (host: string): Promise<boolean> =>
    new Promise((resolve, reject) => {
        const server: Server = createServer();
        server.once("error", (error: NodeJS.ErrnoException) =>
            error.code === "EADDRINUSE" ? resolve(false) : reject(error));
        server.listen(reservationPort, host, () => {
            server.unref();
            resolve(true);
        });
    });
