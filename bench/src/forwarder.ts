/** A minimal express and undici forwarder, the baseline of the overhead bench. */

import express from "express";
import { Pool } from "undici";

const [port, upstream] = process.argv.slice(2);
const pool = new Pool(`http://${upstream}`, { connections: 60, pipelining: 1 });
const app = express();
app.all("/v1/services/:service/*rest", async (request, response) => {
    const chunks: Buffer[] = [];
    for await (const chunk of request as AsyncIterable<Buffer>) {
        chunks.push(chunk);
    }
    const upstreamResponse = await pool.request({
        method: request.method as "POST",
        path: request.url.slice("/v1/services/rider-desk".length),
        headers: {
            "x-run-ms": String(request.headers["x-run-ms"] ?? 0),
            "x-work-id": String(request.headers["x-work-id"]),
        },
        body: Buffer.concat(chunks),
    });
    const body = Buffer.from(await upstreamResponse.body.arrayBuffer());
    response.writeHead(upstreamResponse.statusCode, { "content-length": body.length }).end(body);
});
app.listen(Number(port), "127.0.0.1");
