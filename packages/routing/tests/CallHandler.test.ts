/** Outcomes of service calls to faulty upstreams and of idempotency keys, over loopback connections. */

import { newSystemClock, newSystemTimers, toAddress, toGrantId } from "@anvilmux/common";
import type { Caller, WorkKind } from "@anvilmux/manifest";
import { CallHandler, UpstreamConnections } from "@anvilmux/routing";
import type { Call, ClaimAnswer, ClaimStore, ServiceSlots, SlotDecision } from "@anvilmux/routing";
import { StandInUpstream } from "@anvilmux/stand-ins";
import type { UpstreamBehaviour } from "@anvilmux/stand-ins";
import { DecisionLog, Metrics, newDisabledTracing } from "@anvilmux/telemetry";
import { createServer } from "node:net";
import type { AddressInfo, Server } from "node:net";

const kind: WorkKind = {
    name: "drop-confirm",
    urgent: true,
    repeatable: false,
    keyRequired: false,
    deadlineMs: 1_000,
    declaredRunMs: 10,
    maximumRequestBytes: 1_000,
    maximumAnswerBytes: 1_000,
};

const caller: Caller = { name: "desk", team: "touring", tokenSha256: "", services: [], jobs: false };

const refusal: SlotDecision = { granted: false, reason: "deadline-out-of-reach", retryAfter: 100 };

/** Grants a slot at each of the given addresses in order, then refuses. */
const newSlots = (addresses: readonly string[]): ServiceSlots => {
    let next = 0;
    return {
        acquire: async (): Promise<SlotDecision> => {
            const address = addresses[next++];
            return address === undefined ? refusal : {
                granted: true,
                grantId: toGrantId(`grant-${next}`),
                upstreamId: `upstream-${next}`,
                address: toAddress(address),
                queued: 0,
            };
        },
        release: () => undefined,
    } as unknown as ServiceSlots;
};

class MemoryClaims implements ClaimStore {
    readonly holders = new Map<string, string>();
    readonly answers = new Map<string, Uint8Array>();
    available = true;

    readonly claim = async (key: string, _digest: string, holder: string): Promise<ClaimAnswer> => {
        if (!this.available) {
            throw new Error("no quorum");
        }
        const answer = this.answers.get(key);
        if (answer) {
            return { state: "answered", answer };
        }
        const present = this.holders.get(key) ?? holder;
        this.holders.set(key, present);
        return { state: present === holder ? "granted" : "pending" };
    };

    readonly record = async (key: string, _holder: string, answer: Uint8Array): Promise<void> => {
        this.answers.set(key, answer);
    };

    readonly release = async (key: string): Promise<void> => {
        this.holders.delete(key);
    };
}

const claims = new MemoryClaims();
const timers = newSystemTimers();
/** One connection for each upstream, so that the second request reuses the connection of the first. */
const connections = new UpstreamConnections(timers, () => 1);
const open: { close: () => Promise<void>; }[] = [];

const startUpstream = async (behaviour: UpstreamBehaviour): Promise<StandInUpstream> => {
    const upstream = new StandInUpstream({ id: behaviour, slots: 4 });
    upstream.behaviour = behaviour;
    await upstream.listen();
    open.push(upstream);
    return upstream;
};

/** Starts a server that answers the first request on each connection and closes the connection on the second. */
const startStaleServer = async (): Promise<{ readonly address: string; readonly getRequests: () => number; }> => {
    let requests = 0;
    const server: Server = createServer(socket => {
        let onConnection = 0;
        socket.on("data", chunk => {
            if (!String(chunk).includes("POST ")) {
                return;
            }
            requests += 1;
            onConnection += 1;
            if (onConnection === 1) {
                socket.write("HTTP/1.1 200 OK\r\ncontent-length: 2\r\nconnection: keep-alive\r\n\r\nok");
            }
            else {
                socket.destroy();
            }
        });
        socket.on("error", () => undefined);
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    open.push({ close: () => new Promise(resolve => server.close(() => resolve())) });
    return { address: `127.0.0.1:${(server.address() as AddressInfo).port}`, getRequests: () => requests };
};

const send = async (slots: ServiceSlots, changes: Partial<Call> = {}) => {
    const clock = newSystemClock();
    const handler = new CallHandler({
        instanceId: "entry",
        clock,
        metrics: new Metrics(),
        decisions: new DecisionLog(clock),
        claims,
        connections,
        getSlots: () => slots,
    });
    const answer = await handler.handle({
        requestId: `request-${Math.random()}`,
        service: "rider-desk",
        kind,
        caller,
        method: "POST",
        path: "/drop-confirm",
        headers: { "x-work-id": "van" },
        body: Buffer.from("van"),
        deadline: clock.now() + 1_000,
        idempotency: undefined,
        span: newDisabledTracing().start("test", undefined),
        signal: new AbortController().signal,
        ...changes,
    });
    return { status: answer.status, outcome: answer.headers["anvilmux-outcome"], answer };
};

const repeatable: WorkKind = { ...kind, repeatable: true };

afterAll(async () => {
    await connections.close();
    await Promise.all(open.map(item => item.close()));
});

describe("CallHandler", () => {
    test("a complete answer has the outcome answered", async () => {
        const upstream = await startUpstream("normal");
        expect(await send(newSlots([upstream.getAddress()]))).toMatchObject({ status: 200, outcome: "answered" });
    });

    test("a refused connection is not-run and retried at another upstream, even for non-repeatable work", async () => {
        const upstream = await startUpstream("normal");
        const closed = await startUpstream("normal");
        const address = closed.getAddress();
        await closed.close();
        open.splice(open.indexOf(closed), 1);
        expect(await send(newSlots([address, upstream.getAddress()]))).toMatchObject({ outcome: "answered" });
        expect(await send(newSlots([address]))).toMatchObject({ status: 503, outcome: "not-run" });
    });

    test("a request that an upstream declines is retried at another upstream", async () => {
        const declining = await startUpstream("declines");
        const upstream = await startUpstream("normal");
        const result = await send(newSlots([declining.getAddress(), upstream.getAddress()]));
        expect(result).toMatchObject({ status: 200, outcome: "answered" });
        expect(declining.startCount).toBe(0);
    });

    test("a truncated answer has the outcome unknown and is never reported as a success", async () => {
        const upstream = await startUpstream("cuts-answer");
        expect(await send(newSlots([upstream.getAddress()]))).toMatchObject({ status: 502, outcome: "unknown" });
    });

    test("work that is not repeatable is sent once", async () => {
        const cutting = await startUpstream("closes-stale");
        const other = await startUpstream("normal");
        const result = await send(newSlots([cutting.getAddress(), other.getAddress()]));
        expect(result).toMatchObject({ status: 502, outcome: "unknown" });
        expect([cutting.startCount, other.startCount]).toEqual([1, 0]);
    });

    test("repeatable work is retried after a failure", async () => {
        const failing = await startUpstream("fails");
        const upstream = await startUpstream("normal");
        const slots = newSlots([failing.getAddress(), upstream.getAddress()]);
        expect(await send(slots, { kind: repeatable })).toMatchObject({ status: 200, outcome: "answered" });
    });

    test("a request under which two upstreams broke off is sent to a third one", async () => {
        const cutting = await Promise.all([startUpstream("cuts-answer"), startUpstream("cuts-answer")]);
        const other = await startUpstream("normal");
        const slots = newSlots([...cutting, other].map(upstream => upstream.getAddress()));
        expect(await send(slots, { kind: repeatable })).toMatchObject({ status: 502, outcome: "unknown" });
        expect([...cutting, other].map(upstream => upstream.startCount)).toEqual([1, 1, 0]);
    });

    test("a refusal after an attempt that may have run is not reported as not-run", async () => {
        const cutting = await startUpstream("closes-stale");
        const result = await send(newSlots([cutting.getAddress()]), { kind: repeatable });
        expect(result.outcome).toBe("unknown");
        const failing = await startUpstream("fails");
        expect(await send(newSlots([failing.getAddress()]), { kind: repeatable })).toMatchObject({ status: 500 });
    });

    test("a request is not resent when the upstream closes its persistent connection", async () => {
        const stale = await startStaleServer();
        expect((await send(newSlots([stale.address]))).outcome).toBe("answered");
        expect((await send(newSlots([stale.address]))).outcome).toBe("unknown");
        expect(stale.getRequests()).toBe(2);
    });

    test("a request without an answer by its deadline has the outcome unknown", async () => {
        const hanging = await startUpstream("hangs");
        const deadline = newSystemClock().now() + 100;
        expect(await send(newSlots([hanging.getAddress()]), { deadline })).toMatchObject({
            status: 504,
            outcome: "unknown",
        });
    });

    test("an answer larger than the limit has the outcome unknown", async () => {
        const upstream = await startUpstream("normal");
        const body = Buffer.alloc(2_000, "a");
        expect(await send(newSlots([upstream.getAddress()]), { body })).toMatchObject({ outcome: "unknown" });
    });
});

describe("idempotency keys", () => {
    const idempotency = (key: string) => ({ key, digest: "digest", retention: 1_000 });

    test("a repetition receives the recorded answer without another run", async () => {
        const upstream = await startUpstream("normal");
        const slots = newSlots([upstream.getAddress(), upstream.getAddress()]);
        const first = await send(slots, { idempotency: idempotency("a") });
        const second = await send(slots, { idempotency: idempotency("a") });
        expect(second.answer.body.equals(first.answer.body)).toBe(true);
        expect(second.answer.headers["anvilmux-replayed"]).toBe("true");
        expect(upstream.startCount).toBe(1);
    });

    test("a key whose run has an unknown outcome is not run again", async () => {
        const cutting = await startUpstream("closes-stale");
        const upstream = await startUpstream("normal");
        expect((await send(newSlots([cutting.getAddress()]), { idempotency: idempotency("b") })).outcome).toBe(
            "unknown",
        );
        const again = await send(newSlots([upstream.getAddress()]), { idempotency: idempotency("b") });
        expect(again.outcome).toBe("unknown");
        expect(upstream.startCount).toBe(0);
    });

    test("a refused run releases its key", async () => {
        const upstream = await startUpstream("normal");
        expect((await send(newSlots([]), { idempotency: idempotency("c") })).outcome).toBe("not-run");
        const again = await send(newSlots([upstream.getAddress()]), { idempotency: idempotency("c") });
        expect(again.outcome).toBe("answered");
    });

    test("a key that another holder has claimed and not answered is refused with the outcome unknown", async () => {
        claims.holders.set("d", "another-entry/request");
        const upstream = await startUpstream("normal");
        const result = await send(newSlots([upstream.getAddress()]), { idempotency: idempotency("d") });
        expect(result).toMatchObject({ status: 409, outcome: "unknown" });
        expect(upstream.startCount).toBe(0);
    });

    test("a keyed request does not run without a quorum", async () => {
        claims.available = false;
        const upstream = await startUpstream("normal");
        const result = await send(newSlots([upstream.getAddress()]), { idempotency: idempotency("e") });
        claims.available = true;
        expect(result).toMatchObject({ status: 503, outcome: "not-run" });
        expect(upstream.startCount).toBe(0);
    });
});
