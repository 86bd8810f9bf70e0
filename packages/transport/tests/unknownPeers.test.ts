/** What a sender without a peer secret can make a server for other instances read and hold. */

import { splitAddress, VirtualTime } from "@anvilmux/common";
import type { Address } from "@anvilmux/common";
import { MemoryBudget } from "@anvilmux/intake";
import type { RefusalCause } from "@anvilmux/intake";
import { ConsensusService, IdentifyReplySchema } from "@anvilmux/protocol";
import { newPeerNetwork, PeerServer } from "@anvilmux/transport";
import { create } from "@bufbuild/protobuf";
import { Code, ConnectError } from "@connectrpc/connect";
import { once } from "node:events";
import { connect as connectHttp2 } from "node:http2";
import { connect } from "node:net";
import type { Socket } from "node:net";

const longestHeldMs = 5_000;
const cleanups: (() => unknown)[] = [];
afterEach(async () => {
    for (const cleanup of cleanups.splice(0).reverse()) {
        await cleanup();
    }
});

const startServer = async (maximumConnections = 10) => {
    const time = new VirtualTime();
    const refusals: RefusalCause[] = [];
    const budget = new MemoryBudget({ totalBytes: 1_048_576, addressBytes: 1_048_576 });
    let calls = 0;
    const server = await PeerServer.listen({
        host: "127.0.0.1",
        port: 0,
        secrets: ["right"],
        guard: { budget, maximumConnections, report: cause => refusals.push(cause) },
        timers: time,
        routes: router =>
            router.service(ConsensusService, {
                identify: () => {
                    calls += 1;
                    return create(IdentifyReplySchema, { memberId: "a~1" });
                },
            }),
    });
    cleanups.push(() => server.close());
    return { server, time, refusals, budget, getCalls: () => calls };
};

const openNetwork = (secret: string) => {
    const network = newPeerNetwork({ secrets: [secret], clock: new VirtualTime() });
    cleanups.push(() => network.close());
    return network;
};

const openSilent = async (address: Address): Promise<Socket> => {
    const socket = connect(splitAddress(address));
    socket.on("error", () => undefined).resume();
    cleanups.push(() => socket.destroy());
    await once(socket, "connect");
    return socket;
};

describe("a sender without the secret of instances", () => {
    test("is told anything but that it is unknown", async () => {
        const { server, refusals, getCalls } = await startServer();
        const code = await openNetwork("wrong").consensus(server.address).identify({})
            .then(() => undefined, error => ConnectError.from(error).code);
        expect(code).toBe(Code.Unauthenticated);
        expect(getCalls()).toBe(0);
        expect(refusals).toEqual(["unknown-peer"]);
    });

    // The whole message was read and decoded first, up to 8 MB for each of any number of calls.
    test("has its message read", async () => {
        const { server, time } = await startServer();
        const session = connectHttp2(`http://${server.address}`);
        session.on("error", () => undefined);
        const path = "/anvilmux.v1.ConsensusService/AppendEntries";
        const headers = { ":method": "POST", ":path": path, "content-type": "application/proto" };
        const stream = session.request(headers).on("error", () => undefined);
        const messageBytes = 4 * 1_048_576;
        stream.write(Buffer.alloc(messageBytes));
        const [answer] = await once(stream, "response") as [{ readonly ":status": number; }];
        expect(answer[":status"]).toBe(401);
        const closed = once(session, "close");
        await time.advance(longestHeldMs);
        await closed;
        expect(server.getByteCount()).toBeLessThan(messageBytes / 4);
    });

    test("keeps its connection open for good without a request", async () => {
        const { server, time, refusals, budget } = await startServer();
        const socket = await openSilent(server.address);
        const closed = once(socket, "close");
        await openNetwork("right").consensus(server.address).identify({});
        expect(budget.heldBytes).toBeGreaterThan(0);
        await time.advance(longestHeldMs);
        await closed;
        expect(refusals).toEqual(["unknown-peer"]);
        expect((await openNetwork("right").consensus(server.address).identify({})).memberId).toBe("a~1");
    });

    test("keeps other instances out with silent connections", async () => {
        const { server, refusals } = await startServer(3);
        const known = openNetwork("right");
        await known.consensus(server.address).identify({});
        for (let number = 0; number < 6; number++) {
            await openSilent(server.address);
        }
        expect((await openNetwork("right").consensus(server.address).identify({})).memberId).toBe("a~1");
        expect((await known.consensus(server.address).identify({})).memberId).toBe("a~1");
        expect(refusals).toContain("connections");
    });
});
