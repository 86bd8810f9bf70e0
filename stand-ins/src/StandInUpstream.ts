/**
 * A stand-in for an upstream: a few slots, a queue for them, and a count of starts by work id, so that tests can check
 * that work ran at most once and that work reported as `not-run` was never started.
 */

import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";

/** How the stand-in answers requests: normally or with one of the faults. */
export type UpstreamBehaviour = "normal" | "fails" | "cuts-answer" | "declines" | "closes-stale" | "hangs";

export interface StandInUpstreamOptions {
    readonly id: string;
    readonly slots: number;
    readonly host?: string;
    readonly port?: number;
}

/** Request header with the run time of the work in milliseconds. */
export const runTimeHeader = "x-run-ms";
/** Request header with the id of the work, by which tests count runs. */
export const workIdHeader = "x-work-id";

export class StandInUpstream {
    readonly starts = new Map<string, number>();
    behaviour: UpstreamBehaviour = "normal";
    /** Factor that multiplies every run time. */
    runTimeFactor = 1;
    /** Maximum number of requests queued at once. */
    peakQueueLength = 0;
    /** Maximum number of connections open at once. */
    peakConnections = 0;
    /** Total run time of the requests started, in milliseconds. */
    busyMs = 0;
    private running = 0;
    private readonly queue: (() => void)[] = [];
    private readonly sockets = new Set<Socket>();
    private readonly server: Server;

    constructor(private readonly options: StandInUpstreamOptions) {
        this.server = createServer((request, response) => this.serve(request, response));
        this.server.keepAliveTimeout = 0;
        this.server.on("connection", socket => {
            this.sockets.add(socket);
            this.peakConnections = Math.max(this.peakConnections, this.sockets.size);
            socket.once("close", () => this.sockets.delete(socket));
        });
    }

    get id(): string {
        return this.options.id;
    }

    get slots(): number {
        return this.options.slots;
    }

    get runningCount(): number {
        return this.running;
    }

    /** Number of requests started, repetitions included. */
    get startCount(): number {
        return [...this.starts.values()].reduce((sum, count) => sum + count, 0);
    }

    async listen(): Promise<string> {
        const host = this.options.host ?? "127.0.0.1";
        await new Promise<void>(resolve => this.server.listen(this.options.port ?? 0, host, resolve));
        return this.getAddress();
    }

    /** Host and port once it listens. */
    getAddress(): string {
        return `${this.options.host ?? "127.0.0.1"}:${(this.server.address() as AddressInfo).port}`;
    }

    async close(): Promise<void> {
        const closed = new Promise<void>(resolve => this.server.close(() => resolve()));
        this.sockets.forEach(socket => socket.destroy());
        await closed;
    }

    private serve(request: IncomingMessage, response: ServerResponse): void {
        const chunks: Buffer[] = [];
        request.on("data", (chunk: Buffer) => chunks.push(chunk));
        request.on("error", () => undefined);
        request.on("end", () => {
            if (this.behaviour === "declines") {
                response.writeHead(503, { "anvilmux-outcome": "not-run" }).end();
                return;
            }
            this.start(() => this.run(request, response, Buffer.concat(chunks)));
        });
    }

    /** Runs now or when a slot is free. */
    private start(run: () => void): void {
        if (this.running < this.options.slots) {
            this.running += 1;
            run();
            return;
        }
        this.queue.push(run);
        this.peakQueueLength = Math.max(this.peakQueueLength, this.queue.length);
    }

    private run(request: IncomingMessage, response: ServerResponse, body: Buffer): void {
        const workId = String(request.headers[workIdHeader] ?? request.headers["anvilmux-request-id"] ?? "");
        this.starts.set(workId, (this.starts.get(workId) ?? 0) + 1);
        const runTime = this.behaviour === "fails"
            ? 0
            : Number(request.headers[runTimeHeader] ?? 0) * this.runTimeFactor;
        this.busyMs += runTime;
        const end = () => {
            this.running -= 1;
            this.answer(request, response, workId, body);
            const next = this.queue.shift();
            if (next) {
                this.running += 1;
                next();
            }
        };
        if (this.behaviour === "hangs") {
            return;
        }
        if (runTime > 0) {
            setTimeout(end, runTime);
        }
        else {
            end();
        }
    }

    private answer(request: IncomingMessage, response: ServerResponse, workId: string, body: Buffer): void {
        switch (this.behaviour) {
            case "fails":
                response.writeHead(500, { "content-type": "text/plain" }).end("failed");
                return;
            case "cuts-answer":
                response.writeHead(200, { "content-length": 1_000 });
                response.write("partial");
                setTimeout(() => request.socket.destroy(), 1);
                return;
            case "closes-stale":
                request.socket.destroy();
                return;
            default:
                response.writeHead(200, { "content-type": "application/json" });
                response.end(JSON.stringify({ upstream: this.id, workId, path: request.url, echo: body.toString() }));
        }
    }
}
