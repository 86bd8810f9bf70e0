/** Calls to an instance that was cut off reach it again over a new connection. */

import { VirtualTime } from "@anvilmux/common";
import { ConsensusService, IdentifyReplySchema } from "@anvilmux/protocol";
import { newPeerNetwork, PeerServer } from "@anvilmux/transport";
import { create } from "@bufbuild/protobuf";
import { connect } from "node:net";

const secrets = ["test"];
const shortTimeoutMs = 100;
const longTimeoutMs = 20_000;

const cleanups: (() => unknown)[] = [];
afterEach(async () => {
    for (const cleanup of cleanups.splice(0).reverse()) {
        await cleanup();
    }
});

const startServer = async () => {
    const server = await PeerServer.listen({
        host: "127.0.0.1",
        port: 0,
        secrets,
        routes: router =>
            router.service(ConsensusService, { identify: () => create(IdentifyReplySchema, { memberId: "a~1" }) }),
    });
    cleanups.push(() => server.close());
    return server.address;
};

/** A socket that keeps connecting, as one whose packets are lost. */
const openUnconnectedSocket = () => connect({ host: "instance.invalid", port: 1, lookup: () => undefined });

test("a call waits for a connection attempt whose packets were lost, long after the path is back", async () => {
    const address = await startServer();
    const time = new VirtualTime();
    let isCutOff = true;
    const network = newPeerNetwork({
        secrets,
        clock: time,
        openSocket: ({ hostname, port }) => isCutOff ? openUnconnectedSocket() : connect(Number(port), hostname),
    });
    cleanups.push(() => network.close());
    const identify = (timeoutMs: number) => network.consensus(address).identify({}, { timeoutMs });
    await expect(identify(shortTimeoutMs)).rejects.toThrow();
    await time.advance(1_000);
    await expect(identify(shortTimeoutMs)).rejects.toThrow();
    isCutOff = false;
    expect((await identify(longTimeoutMs)).memberId).toBe("a~1");
}, longTimeoutMs * 2);
