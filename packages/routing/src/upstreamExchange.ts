/**
 * Sends requests to upstreams over undici and reads the answers. A request is never sent twice: pools do not pipeline,
 * so undici has no queued request to resend, and a failed connection fails the request.
 */

import { getErrorMessage } from "@anvilmux/common";
import type { Address, Milliseconds, Timers } from "@anvilmux/common";
import { Pool } from "undici";
import type { Dispatcher } from "undici";
import { connectTimeoutMs } from "./constants";

export type AnswerHeaders = Readonly<Record<string, string | readonly string[] | undefined>>;

export interface UpstreamRequest {
    readonly address: Address;
    readonly method: string;
    readonly path: string;
    readonly headers: Readonly<Record<string, string | string[]>>;
    readonly body: Buffer | undefined;
    readonly timeout: Milliseconds;
    readonly maximumAnswerBytes: number;
    /** Aborted when the caller disconnects, which ends the exchange. */
    readonly signal: AbortSignal;
}

/** A complete answer according to its HTTP framing. */
export interface UpstreamAnswer {
    readonly kind: "answered";
    readonly status: number;
    readonly headers: AnswerHeaders;
    readonly body: Buffer;
    readonly trailers: Readonly<Record<string, string>>;
}

/** No byte of the request reached the upstream. */
export interface UpstreamNotRun {
    readonly kind: "not-run";
    readonly reason: string;
}

/** The request may have reached the upstream, and no complete answer was received. */
export interface UpstreamUnknown {
    readonly kind: "unknown";
    readonly reason: string;
}

export type ExchangeResult = UpstreamAnswer | UpstreamNotRun | UpstreamUnknown;

/** Connection pools of the upstreams, one for each address. */
export class UpstreamConnections {
    private readonly pools = new Map<Address, Pool>();

    constructor(private readonly timers: Timers, private readonly connectionsPerUpstream: () => number) {}

    /** Sends the request once. Never rejects. */
    exchange(request: UpstreamRequest): Promise<ExchangeResult> {
        return runExchange(this.getPool(request.address), request, this.timers);
    }

    /** Closes pools of addresses that are no longer announced. */
    keepOnly(addresses: ReadonlySet<string>): void {
        for (const [address, pool] of this.pools) {
            if (!addresses.has(address)) {
                this.pools.delete(address);
                void pool.close();
            }
        }
    }

    async close(): Promise<void> {
        await Promise.all([...this.pools.values()].map(pool => pool.destroy()));
        this.pools.clear();
    }

    private getPool(address: Address): Pool {
        let pool = this.pools.get(address);
        if (!pool) {
            pool = new Pool(`http://${address}`, {
                connections: this.connectionsPerUpstream(),
                pipelining: 1,
                connect: { timeout: connectTimeoutMs },
                headersTimeout: 0,
                bodyTimeout: 0,
            });
            this.pools.set(address, pool);
        }
        return pool;
    }
}

const runExchange = (pool: Pool, request: UpstreamRequest, timers: Timers): Promise<ExchangeResult> =>
    new Promise(resolve => {
        let controller: Dispatcher.DispatchController | undefined;
        let failure = "";
        let status = 0;
        let headers: AnswerHeaders = {};
        const chunks: Buffer[] = [];
        let bytes = 0;
        let settled = false;

        const finish = (result: ExchangeResult) => {
            if (!settled) {
                settled = true;
                stopTimer();
                request.signal.removeEventListener("abort", onCallerAbort);
                resolve(result);
            }
        };
        const fail = (reason: string) => finish({ kind: controller ? "unknown" : "not-run", reason });
        /** Ends the exchange and closes its connection. */
        const abort = (reason: string) => {
            failure ||= reason;
            controller?.abort(new Error(reason));
            fail(failure);
        };
        const onCallerAbort = () => abort("the caller went away");
        const stopTimer = timers.after(request.timeout, () => abort("no answer before the deadline"));
        request.signal.addEventListener("abort", onCallerAbort);

        pool.dispatch({
            method: request.method as Dispatcher.HttpMethod,
            path: request.path,
            headers: request.headers,
            body: request.body,
        }, {
            onRequestStart: requestController => {
                if (settled) {
                    requestController.abort(new Error(failure));
                    return;
                }
                controller = requestController;
            },
            onResponseStart: (_controller, statusCode, answerHeaders) => {
                if (statusCode >= 200) {
                    status = statusCode;
                    headers = answerHeaders;
                }
            },
            onResponseData: (_controller, chunk) => {
                bytes += chunk.length;
                if (bytes > request.maximumAnswerBytes) {
                    abort(`the answer exceeds ${request.maximumAnswerBytes} bytes`);
                    return;
                }
                chunks.push(Buffer.from(chunk));
            },
            onResponseEnd: (_controller, trailers) => {
                const body = Buffer.concat(chunks, bytes);
                finish({ kind: "answered", status, headers, body, trailers: trailers as Record<string, string> });
            },
            onResponseError: (_controller, error) => fail(failure || getErrorMessage(error)),
        });
    });
