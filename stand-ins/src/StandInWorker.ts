/**
 * A stand-in for a worker that implements the worker's part of docs/INTERFACE.md: it grants a lease to one owner,
 * refuses starts from any other, never starts a task id twice, and fails the owner's tasks when the lease expires.
 */

import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";

export interface StandInWorkerOptions {
    readonly id: string;
    readonly rack: string;
    readonly processors: number;
    readonly memoryMebibytes: number;
    readonly accelerators: number;
}

/** Instructions to the stand-in in a task's payload. */
interface TaskPayload {
    readonly runMs?: number;
    readonly fails?: boolean;
}

interface WireTask {
    readonly id: string;
    readonly processors: number;
    readonly payload: string;
}

interface RunningTask {
    readonly timer: NodeJS.Timeout;
    readonly processors: number;
    readonly end: (state: "finished" | "failed", result: string, reason: string) => void;
}

export class StandInWorker {
    readonly starts = new Map<string, number>();
    /** Starts of tasks that had been cancelled before. */
    startsAfterCancel = 0;
    failsAllTasks = false;
    /** Maximum number of processors in use at once. */
    peakProcessors = 0;
    private usedProcessors = 0;
    private ownerId = "";
    private epoch = 0;
    private leaseEnd = 0;
    private readonly running = new Map<string, RunningTask>();
    private readonly cancelled = new Set<string>();
    private readonly sockets = new Set<Socket>();
    private readonly leaseTimer: NodeJS.Timeout;
    private readonly server: Server;

    constructor(readonly options: StandInWorkerOptions) {
        this.server = createServer((request, response) => void this.serve(request, response));
        this.server.keepAliveTimeout = 0;
        this.server.on("connection", socket => {
            this.sockets.add(socket);
            socket.once("close", () => this.sockets.delete(socket));
        });
        this.leaseTimer = setInterval(() => this.endExpiredLease(), 50);
    }

    get runningCount(): number {
        return this.running.size;
    }

    async listen(): Promise<string> {
        await new Promise<void>(resolve => this.server.listen(0, "127.0.0.1", resolve));
        return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
    }

    /** Stops at once without completing its tasks, as a killed worker does. */
    async close(): Promise<void> {
        clearInterval(this.leaseTimer);
        this.running.forEach(task => clearTimeout(task.timer));
        this.running.clear();
        const closed = new Promise<void>(resolve => this.server.close(() => resolve()));
        this.sockets.forEach(socket => socket.destroy());
        await closed;
    }

    private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const chunks: Buffer[] = [];
        for await (const chunk of request as AsyncIterable<Buffer>) {
            chunks.push(chunk);
        }
        const document = JSON.parse(Buffer.concat(chunks).toString() || "{}");
        switch (request.url) {
            case "/v1/lease":
                sendJson(response, this.lease(document.ownerId, document.epoch, document.leaseMs));
                return;
            case "/v1/release":
                if (document.ownerId === this.ownerId && document.epoch === this.epoch) {
                    this.leaseEnd = 0;
                    this.ownerId = "";
                }
                sendJson(response, {});
                return;
            case "/v1/cancel":
                (document.taskIds as readonly string[]).forEach(id => this.cancel(id));
                sendJson(response, {});
                return;
            case "/v1/tasks":
                this.startTasks(document.ownerId, document.epoch, document.tasks, response);
                return;
            default:
                response.writeHead(404).end();
        }
    }

    /** Grants or renews the lease; another owner gets it only after the current lease has expired or was released. */
    private lease(ownerId: string, epoch: number, leaseMs: number) {
        const now = performance.now();
        const isHeld = this.ownerId !== "" && now < this.leaseEnd;
        if (isHeld && ownerId !== this.ownerId) {
            return { granted: false, epoch: this.epoch, remainingMs: this.leaseEnd - now };
        }
        if (ownerId !== this.ownerId) {
            this.endExpiredLease();
            this.ownerId = ownerId;
            this.epoch = Math.max(this.epoch + 1, epoch);
        }
        this.leaseEnd = now + leaseMs;
        return { granted: true, epoch: this.epoch, remainingMs: leaseMs };
    }

    private endExpiredLease(): void {
        if (performance.now() >= this.leaseEnd && this.running.size > 0) {
            this.running.forEach(task => task.end("failed", "", "the owner's lease ended"));
        }
    }

    private cancel(id: string): void {
        this.cancelled.add(id);
        this.running.get(id)?.end("failed", "", "cancelled");
    }

    /** Answers with one line per task, written as soon as the task has completed. */
    private startTasks(ownerId: string, epoch: number, tasks: readonly WireTask[], response: ServerResponse): void {
        response.writeHead(200, { "content-type": "application/x-ndjson" });
        let unfinished = tasks.length;
        let lines = "";
        /** Writes the lines of one turn of the event loop together. */
        const flush = () => {
            response.write(lines);
            lines = "";
            if (unfinished === 0) {
                response.end();
            }
        };
        const write = (taskId: string, state: string, result: string, reason: string) => {
            if (lines === "") {
                setImmediate(flush);
            }
            lines += JSON.stringify({ taskId, state, result, reason }) + "\n";
            unfinished -= 1;
        };
        const isOwner = ownerId === this.ownerId && epoch === this.epoch && performance.now() < this.leaseEnd;
        for (const task of tasks) {
            if (!isOwner) {
                write(task.id, "refused", "", "not the owner of this worker");
            }
            else if (this.starts.has(task.id) || this.cancelled.has(task.id)) {
                write(task.id, "refused", "", "the task was started or cancelled before");
            }
            else {
                this.startTask(task, (state, result, reason) => write(task.id, state, result, reason));
            }
        }
    }

    private startTask(task: WireTask, report: RunningTask["end"]): void {
        this.starts.set(task.id, (this.starts.get(task.id) ?? 0) + 1);
        if (this.cancelled.has(task.id)) {
            this.startsAfterCancel += 1;
        }
        const payload = parsePayload(task.payload);
        this.usedProcessors += task.processors;
        this.peakProcessors = Math.max(this.peakProcessors, this.usedProcessors);
        const end: RunningTask["end"] = (state, result, reason) => {
            clearTimeout(running.timer);
            if (this.running.delete(task.id)) {
                this.usedProcessors -= task.processors;
                report(state, result, reason);
            }
        };
        const fails = this.failsAllTasks || payload.fails === true;
        const timer = setTimeout(
            () => fails ? end("failed", "", "the task failed") : end("finished", `done ${task.id}`, ""),
            fails ? 1 : payload.runMs ?? 0,
        );
        const running: RunningTask = { timer, processors: task.processors, end };
        this.running.set(task.id, running);
    }
}

const parsePayload = (payload: string): TaskPayload => {
    try {
        return JSON.parse(payload) as TaskPayload;
    }
    catch {
        return {};
    }
};

const sendJson = (response: ServerResponse, document: unknown): void => {
    response.writeHead(200, { "content-type": "application/json" });
    response.end(JSON.stringify(document));
};
