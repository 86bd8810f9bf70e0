/**
 * An owner's connection to one worker over HTTP: the lease with its epoch, task starts and cancellations. The worker
 * refuses starts unless they carry the owner and epoch of its current lease, so a former owner cannot start tasks.
 */

import { getErrorMessage, sleep } from "@anvilmux/common";
import type { Timers } from "@anvilmux/common";
import type { WorkerAnnouncement } from "@anvilmux/membership";
import type { Logger } from "@anvilmux/telemetry";
import { setMaxListeners } from "node:events";
import { Pool } from "undici";
import * as z from "zod";
import { leaseRenewalMs, maximumResultBytes, ownerLeaseMs, workerCallTimeoutMs } from "./constants";
import type { OwnedTask } from "./types";

const leaseReplySchema = z.object({ granted: z.boolean(), epoch: z.number(), remainingMs: z.number().default(0) });

const taskLineSchema = z.object({
    taskId: z.string(),
    state: z.enum(["finished", "failed", "refused"]),
    result: z.string().default(""),
    reason: z.string().default(""),
});

type TaskLine = z.infer<typeof taskLineSchema>;

/** The worker's reply about one task; `lost` when the connection ended first and the task may have started. */
export type WorkerReply =
    | { readonly state: "finished" | "failed" | "refused"; readonly result: string; readonly reason: string; }
    | { readonly state: "lost"; readonly result: ""; readonly reason: string; };

export interface WorkerLinkOptions {
    readonly announcement: WorkerAnnouncement;
    readonly ownerId: string;
    readonly timers: Timers;
    readonly logger: Logger;
    /** Called when the lease is gained or lost. */
    readonly onLeaseChange: (held: boolean) => void;
}

const connectionsPerWorker = 32;

export class WorkerLink {
    private readonly pool: Pool;
    /** Ends all calls to the worker, each of which listens to it. */
    private readonly abort = new AbortController();
    private epoch = 0;
    private held = false;

    constructor(private readonly options: WorkerLinkOptions) {
        this.pool = new Pool(`http://${options.announcement.address}`, {
            connections: connectionsPerWorker,
            pipelining: 1,
            headersTimeout: 0,
            bodyTimeout: 0,
        });
        // As many calls may be in progress as the owner has tasks for the worker.
        setMaxListeners(0, this.abort.signal);
    }

    get announcement(): WorkerAnnouncement {
        return this.options.announcement;
    }

    get holdsLease(): boolean {
        return this.held;
    }

    /** Acquires and renews the lease until closed. */
    async keepLease(): Promise<void> {
        let failures = 0;
        while (!this.abort.signal.aborted) {
            const granted = await this.renew();
            failures = granted ? 0 : failures + 1;
            if (granted || failures * leaseRenewalMs >= ownerLeaseMs) {
                this.setHeld(granted);
            }
            await sleep(this.options.timers, this.held ? leaseRenewalMs : leaseRenewalMs / 4, this.abort.signal);
        }
    }

    /** Starts tasks with one request and passes on the reply about each. Never rejects. */
    async start(tasks: readonly OwnedTask[], onReply: (task: OwnedTask, reply: WorkerReply) => void): Promise<void> {
        const unfinished = new Map(tasks.map(task => [getTaskKey(task), task]));
        const handleLine = (line: TaskLine) => {
            const task = unfinished.get(line.taskId);
            if (task) {
                unfinished.delete(line.taskId);
                onReply(task, { state: line.state, result: line.result, reason: line.reason });
            }
        };
        let mayHaveArrived = false;
        let reason = "the worker closed the connection before the task ended";
        try {
            const response = await this.pool.request({
                method: "POST",
                path: "/v1/tasks",
                headers: { "content-type": "application/json" },
                body: JSON.stringify({
                    ownerId: this.options.ownerId,
                    epoch: this.epoch,
                    tasks: tasks.map(toWireTask),
                }),
                signal: this.abort.signal,
            });
            mayHaveArrived = true;
            await readLines(response.body, line => handleLine(taskLineSchema.parse(JSON.parse(line))));
        }
        catch (error) {
            reason = getErrorMessage(error);
            mayHaveArrived ||= !isConnectionRefused(error);
        }
        unfinished.forEach(task =>
            onReply(
                task,
                mayHaveArrived ? { state: "lost", result: "", reason } : { state: "refused", result: "", reason },
            )
        );
    }

    /** Stops tasks by key. Never rejects. */
    async cancel(taskKeys: readonly string[]): Promise<void> {
        try {
            await this.post("/v1/cancel", { ownerId: this.options.ownerId, epoch: this.epoch, taskIds: taskKeys });
        }
        catch (error) {
            this.options.logger.debug("cancel not delivered", {
                worker: this.announcement.id,
                reason: getErrorMessage(error),
            });
        }
    }

    /** Closes the connections, after releasing the lease if asked to. */
    async close(release: boolean): Promise<void> {
        if (this.abort.signal.aborted) {
            return;
        }
        const wasHeld = this.held;
        this.setHeld(false);
        if (release && wasHeld) {
            await this.post("/v1/release", { ownerId: this.options.ownerId, epoch: this.epoch }).catch(() => undefined);
        }
        this.abort.abort();
        await this.pool.destroy();
    }

    private async renew(): Promise<boolean> {
        try {
            const body = { ownerId: this.options.ownerId, epoch: this.epoch, leaseMs: ownerLeaseMs };
            const reply = leaseReplySchema.parse(await this.post("/v1/lease", body));
            // A refusal carries the current epoch; the next attempt requests the one after it.
            this.epoch = reply.granted ? reply.epoch : Math.max(this.epoch, reply.epoch + 1);
            return reply.granted;
        }
        catch {
            return false;
        }
    }

    private setHeld(held: boolean): void {
        if (this.held !== held) {
            this.held = held;
            this.options.onLeaseChange(held);
        }
    }

    private async post(path: string, document: unknown): Promise<unknown> {
        const response = await this.pool.request({
            method: "POST",
            path,
            headers: { "content-type": "application/json" },
            body: JSON.stringify(document),
            headersTimeout: workerCallTimeoutMs,
            bodyTimeout: workerCallTimeoutMs,
        });
        return response.body.json();
    }
}

/** Task id that is unique over all jobs. */
export const getTaskKey = (task: OwnedTask): string => `${task.jobId}/${task.specification.id}`;

const toWireTask = (task: OwnedTask): unknown => ({ ...task.specification, id: getTaskKey(task) });

/** True when no connection was established, so that the worker received nothing. */
const isConnectionRefused = (error: unknown): boolean => {
    const { code } = error as { readonly code?: string; };
    return code === "ECONNREFUSED" || code === "UND_ERR_CONNECT_TIMEOUT";
};

const readLines = async (body: AsyncIterable<Uint8Array>, onLine: (line: string) => void): Promise<void> => {
    let rest = "";
    for await (const chunk of body) {
        rest += Buffer.from(chunk).toString();
        if (rest.length > maximumResultBytes * 2) {
            throw new Error(`a result exceeds ${maximumResultBytes} bytes`);
        }
        const lines = rest.split("\n");
        rest = lines.pop()!;
        lines.filter(line => line !== "").forEach(onLine);
    }
};
