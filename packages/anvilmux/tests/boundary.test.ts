/** Invalid input at the public and peer servers is refused, runs nothing and does not stop the process. */

import { newSystemClock, toAddress } from "@anvilmux/common";
import { newPeerNetwork } from "@anvilmux/transport";
import fc from "fast-check";
import { connect } from "node:net";
import { Pool, request } from "undici";
import { Deployment, operatorToken, platformToken } from "../../../anvilmux-daemon/src/Deployment";
import { newRiderDeskManifest, sampleCaller } from "../../../anvilmux-daemon/src/sampleManifests";

const deployment = new Deployment({
    zones: ["eire-dub"],
    entriesPerZone: 1,
    upstreamsPerZone: 1,
    slotsPerUpstream: 4,
    workersPerZone: 1,
    processorsPerWorker: 4,
    service: "rider-desk",
    settings: { "log-level": "error" },
});
let address = "";
let pool: Pool;

beforeAll(async () => {
    await deployment.start();
    await deployment.submitManifest(newRiderDeskManifest(1));
    await deployment.waitUntilReady();
    address = deployment.getPublicAddress(deployment.getInstanceIds()[0]!);
    pool = new Pool(`http://${address}`);
}, 30_000);

afterAll(async () => {
    await pool.destroy();
    await deployment.stop();
}, 30_000);

const callerHeaders = { authorization: `Bearer ${sampleCaller.token}` };
const countStarts = () => deployment.upstreams[0]!.standIn.startCount;

const send = async (method: "GET" | "POST", path: string, headers: Record<string, string>, body?: string | Buffer) => {
    const response = await pool.request({ method, path, headers, body });
    return {
        status: response.statusCode,
        text: await response.body.text(),
        outcome: response.headers["anvilmux-outcome"],
    };
};

/** Sends bytes and returns what is received until the connection closes; `halfClose` ends the sending side at once. */
const sendRaw = (text: string, halfClose = true): Promise<string> =>
    new Promise(resolve => {
        const [host, port] = address.split(":");
        const socket = connect(Number(port), host);
        let received = "";
        socket.on("data", chunk => received += String(chunk));
        socket.on("error", () => undefined);
        socket.on("close", () => resolve(received));
        socket.write(text);
        if (halfClose) {
            socket.end();
        }
    });

describe("callers", () => {
    test("requests with missing or wrong tokens get 401 and run nothing", async () => {
        const before = countStarts();
        for (const headers of [{}, { authorization: "Bearer wrong" }, { authorization: "Basic abc" }]) {
            const result = await send(
                "POST",
                "/v1/services/rider-desk/allergy-screen",
                headers as Record<string, string>,
                "x",
            );
            expect(result).toMatchObject({ status: 401, outcome: "not-run" });
        }
        expect(countStarts()).toBe(before);
    });

    test("unknown services and kinds get the same response as forbidden ones", async () => {
        const answers = await Promise.all(
            ["/v1/services/other/allergy-screen", "/v1/services/rider-desk/unknown"].map(path =>
                send("POST", path, callerHeaders, "x")
            ),
        );
        expect(answers.map(answer => answer.status)).toEqual([403, 403]);
        expect(answers[0]!.text).toBe(answers[1]!.text);
    });

    test("oversized bodies, missing idempotency keys and invalid deadlines are refused", async () => {
        const path = "/v1/services/rider-desk/allergy-screen";
        expect(await send("POST", path, callerHeaders, Buffer.alloc(300_000))).toMatchObject({ status: 413 });
        const noKey = await send("POST", "/v1/services/rider-desk/drop-confirm", callerHeaders, "x");
        expect(noKey).toMatchObject({ status: 400, outcome: "not-run" });
        expect(noKey.text).toContain("Idempotency-Key");
        expect(await send("POST", path, { ...callerHeaders, "anvilmux-deadline-ms": "soon" }, "x"))
            .toMatchObject({ status: 400 });
    });

    // Each chunk was kept as an object of its own, and a refused body was read on to its end.
    test("bodies that are refused or never end run nothing, and the next call is served", async () => {
        const before = countStarts();
        const path = "/v1/services/rider-desk/allergy-screen";
        const head = `POST ${path} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer ${sampleCaller.token}\r\n`
            + "transfer-encoding: chunked\r\n\r\n";
        const refused = await sendRaw(`${head}fffff\r\n${"x".repeat(400_000)}`, false);
        expect(refused).toMatch(/^HTTP\/1\.1 413 .*connection: close/is);
        const fragmented = Array.from({ length: 8 }, () => sendRaw(head + "1\r\nx\r\n".repeat(20_000), false));
        expect(await Promise.race(fragmented)).toMatch(/^HTTP\/1\.1 503 .*retry-after: 1/is);
        expect(await send("POST", path, callerHeaders, "x")).toMatchObject({ status: 200 });
        expect(countStarts()).toBe(before + 1);
        const metrics = await send("GET", "/metrics", {});
        expect(metrics.text).toMatch(/anvilmux_refused_requests_total\{cause="fragmented"\} \d/);
    });

    test("a request whose body ends early runs nothing", async () => {
        const before = countStarts();
        await sendRaw(
            `POST /v1/services/rider-desk/allergy-screen HTTP/1.1\r\nhost: x\r\nauthorization: Bearer ${sampleCaller.token}\r\n`
                + "content-length: 100\r\n\r\npartial",
        );
        expect(countStarts()).toBe(before);
    });

    test("a call whose caller has closed its connection before it is read runs nothing", async () => {
        const before = countStarts();
        const text = "POST /v1/services/rider-desk/allergy-screen HTTP/1.1\r\nhost: x\r\n"
            + `authorization: Bearer ${sampleCaller.token}\r\ncontent-length: 1\r\n\r\nx`;
        expect(await sendRaw(text)).toBe("");
        const path = "/v1/services/rider-desk/allergy-screen";
        expect(await send("POST", path, callerHeaders, "x")).toMatchObject({ status: 200 });
        expect(countStarts()).toBe(before + 1);
    });

    test("the connection stays usable after a HEAD request", async () => {
        const response = await pool.request({
            method: "HEAD",
            path: "/v1/services/rider-desk/allergy-screen",
            headers: callerHeaders,
        });
        await response.body.dump();
        expect(response.statusCode).toBe(200);
        expect(await send("POST", "/v1/services/rider-desk/allergy-screen", callerHeaders, "x")).toMatchObject({
            status: 200,
        });
    });

    test("Expect: 100-continue is answered and not forwarded to the upstream", async () => {
        const received = await sendRaw(
            `POST /v1/services/rider-desk/allergy-screen HTTP/1.1\r\nhost: x\r\nauthorization: Bearer ${sampleCaller.token}\r\n`
                + "expect: 100-continue\r\nconnection: close\r\ncontent-length: 1\r\n\r\nx",
            false,
        );
        expect(received).toContain("100 Continue");
        expect(received).toContain("200 OK");
    });

    test("the process keeps serving after header floods and requests of other protocols", async () => {
        await sendRaw(`GET / HTTP/1.1\r\n${"a: b\r\n".repeat(20_000)}\r\n`);
        await sendRaw("\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03");
        await sendRaw("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n");
        expect(await send("GET", "/live", {})).toMatchObject({ status: 200 });
    });
});

describe("documents", () => {
    const routes = [
        { path: "/v1/jobs", token: sampleCaller.token },
        { path: "/v1/upstreams", token: platformToken },
        { path: "/v1/workers", token: platformToken },
        { path: "/v1/manifests", token: operatorToken },
        { path: "/v1/replicas", token: operatorToken },
    ];

    test.each(routes)(
        "arbitrary bodies at $path are refused with a problem and leave the instance ready",
        async ({ path, token }) => {
            await fc.assert(
                fc.asyncProperty(fc.oneof(fc.json(), fc.string()), async body => {
                    const result = await send("POST", path, { authorization: `Bearer ${token}` }, body);
                    expect(result.status).toBeGreaterThanOrEqual(400);
                    expect(result.status).toBeLessThan(500);
                    expect(JSON.parse(result.text)).toHaveProperty("detail");
                }),
                { numRuns: 40, seed: 7 },
            );
            expect(await send("GET", "/ready", {})).toMatchObject({ status: 200 });
        },
    );

    test("operator routes refuse the token of a caller", async () => {
        for (const path of ["/v1/status", "/v1/manifests/current", "/v1/explain/x", "/v1/upstreams"]) {
            expect(await send("GET", path, callerHeaders)).toMatchObject({ status: 401 });
        }
    });

    test("a job that no worker can run is refused, naming the task that does not fit", async () => {
        const body = JSON.stringify({ tasks: [{ id: "a" }, { id: "b", processors: 64 }] });
        const result = await send("POST", "/v1/jobs", callerHeaders, body);
        expect([422, 503]).toContain(result.status);
        expect(result.outcome).toBe("not-run");
        expect(result.text).toContain("/tasks/1");
    });

    // Each faulty task of 4 MiB was checked and named in the answer.
    test.each([
        ["faulty tasks", `{"tasks":[${"0,".repeat(5_000)}0]}`, "/tasks: 5001 tasks, at most"],
        ["values", `{"tasks":[${"[],".repeat(100_000)}[]]}`, "/: "],
    ])("a job with thousands of %s is answered with all of them", async (_kind, body, expected) => {
        const result = await send("POST", "/v1/jobs", callerHeaders, body);
        expect(result.status).toBe(400);
        expect(result.text.length).toBeLessThan(1_000);
        expect(result.text).toContain(expected);
    });

    test("a repeated manifest gets the same answer; stale, conflicting and tampered ones are refused", async () => {
        const submit = async (envelope: string) => {
            const response = await request(`http://${address}/v1/manifests`, {
                method: "POST",
                headers: { authorization: `Bearer ${operatorToken}` },
                body: envelope,
            });
            return { status: response.statusCode, document: await response.body.json() as Record<string, unknown> };
        };
        const secondVersion = deployment.sign(newRiderDeskManifest(2));
        const firstAnswer = await submit(secondVersion);
        expect(firstAnswer.status).toBe(200);
        expect(await submit(secondVersion)).toEqual(firstAnswer);
        const other = { ...newRiderDeskManifest(2) as object, claimRetentionMs: 1_000 };
        expect(await submit(deployment.sign(other))).toMatchObject({
            status: 409,
            document: { title: "Not accepted" },
        });
        expect((await submit(deployment.sign(newRiderDeskManifest(1)))).status).toBe(409);
        const dropping = { ...newRiderDeskManifest(3) as object, services: [], callers: [] };
        expect((await submit(deployment.sign(dropping))).status).toBe(422);
        const tampered = secondVersion.replace("touring", "tampered");
        expect((await submit(tampered)).status).toBe(422);
    });
});

describe("peers", () => {
    test("a client without the peer secret is refused", async () => {
        const peerAddress = toAddress(deployment.getPeerAddress(deployment.getInstanceIds()[0]!));
        for (const secrets of [["wrong"], []]) {
            const network = newPeerNetwork({ secrets, clock: newSystemClock() });
            await expect(network.peer(peerAddress).fetchConfiguration({ knownIndex: 0n })).rejects.toThrow(
                "unknown peer",
            );
            network.close();
        }
    });
});
