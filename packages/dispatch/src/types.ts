/** Jobs, tasks, workers and the driver through which a worker is reached. */

import type { Address, Branded, JobId, Milliseconds, ZoneId } from "@anvilmux/common";

export type WorkerId = Branded<string, "WorkerId">;
export const toWorkerId = (text: string): WorkerId => text as WorkerId;

/** Name of a task, unique over all jobs. */
export type TaskName = Branded<string, "TaskName">;
export const toTaskName = (text: string): TaskName => text as TaskName;

/** What a task takes of a worker, or what a worker has. */
export interface Room {
    readonly millicores: number;
    readonly memoryMebibytes: number;
    readonly accelerators: number;
}

/** A task of a job as the caller described it. */
export interface TaskRequest extends Room {
    readonly name: TaskName;
    /** The caller's rough guess of the run time. */
    readonly estimateMs: Milliseconds;
}

/** A job that need not be stored: its caller waits for its end and sends it again when the answer is lost. */
export interface JobRequest {
    readonly id: JobId;
    readonly queue: string;
    readonly service: string;
    readonly payload: string;
    readonly tasks: readonly TaskRequest[];
    /** 0 goes first. */
    readonly priority: number;
    /** Times a task may be run until its job counts as failed. */
    readonly attempts: number;
    /** Time from arrival within which the answer is wanted, in milliseconds. */
    readonly objectiveMs: Milliseconds;
    /** Time from now after which nobody waits for the answer. */
    readonly remainingMs: Milliseconds;
    /** True when earlier runs of its tasks may exist that this owner has not started itself. */
    readonly resubmitted: boolean;
    /** True when a former owner handed tasks of it to another zone. */
    readonly mayRunElsewhere: boolean;
    /** True for tasks that the owner of another zone hands over: started at once or refused, never handed on. */
    readonly spilled: boolean;
}

/** Whoever waits for a job at its pool. */
export interface JobHome {
    /** Names the connection; a home that came back has another. */
    readonly key: string;
    readonly answer: (answer: JobAnswer) => void;
    /**
     * Asked before tasks of the job are handed to another zone. True when the home has taken note at once; otherwise
     * `Pool.noteAwayKnown` tells when it has, and nothing is handed over before.
     */
    readonly noteAway: () => boolean;
    /** Told when no task of the job is in another zone any more. */
    readonly noteBack: () => void;
}

/** Processors left on each worker of a service that takes tasks now, in millicores. */
export type FreeRoom = Readonly<Record<string, readonly number[]>>;

/** The pool of another zone. */
export interface RemotePool {
    readonly zone: string;
    readonly free: FreeRoom;
    /** Hands tasks over; `left` is what they leave of the room. False when the pool cannot be reached now. */
    readonly submit: (request: JobRequest, left: FreeRoom) => boolean;
    readonly cancel: (id: JobId) => void;
}

/** What became of a job. `refused` means that none of its tasks ran or will run. */
export type JobAnswer =
    | { readonly kind: "completed"; }
    | { readonly kind: "failed"; readonly reason: string; }
    | { readonly kind: "refused"; readonly reason: string; readonly retryAfterMs: Milliseconds; }
    | { readonly kind: "unknown"; readonly reason: string; };

/** What a worker says of itself. */
export interface WorkerAnnouncement {
    readonly id: WorkerId;
    /** Wall time of the start of this life of the worker; higher is later. */
    readonly incarnation: number;
    /** Rises with each announcement of one life. */
    readonly sequence: number;
    readonly service: string;
    readonly address: Address;
    readonly zone: ZoneId;
    readonly state: "ready" | "draining" | "left";
    readonly room: Room;
}

/** How a run ended, as its worker lists it. */
export type RunEnd = "done" | "failed" | "stopped" | "lapsed" | "broken";

/** The list a worker gives of its runs. */
export interface WorkerList {
    /** The worker's steady clock when it answered, in milliseconds. */
    readonly clock: Milliseconds;
    /** The life of the worker that answered. */
    readonly incarnation: number;
    /** `percent`: share of its work that the run has done. */
    readonly running: readonly { readonly task: TaskName; readonly run: number; readonly percent: number; }[];
    readonly ends: readonly {
        readonly number: number;
        readonly task: TaskName;
        readonly run: number;
        readonly how: RunEnd;
    }[];
}

export interface StartOrder {
    readonly task: TaskName;
    readonly run: number;
    readonly payload: string;
    readonly fence: number;
    /** On the worker's clock: a start that comes later is refused, and what runs there is kept until then. */
    readonly deadline: Milliseconds;
}

export type StartRefusal = "fence" | "old" | "late" | "room" | "invalid" | "unhealthy";

/** The answer to a start; `unanswered` means that the run may exist or come to exist until the order's deadline. */
export type StartAnswer =
    | { readonly kind: "started"; readonly clock: Milliseconds; }
    /** `clock`: the worker's clock when it refused, if it told it. */
    | { readonly kind: "refused"; readonly reason: StartRefusal; readonly clock: Milliseconds | undefined; }
    | { readonly kind: "gone"; }
    | { readonly kind: "unanswered"; readonly reason: string; };

export interface WatchOrder {
    readonly fence: number;
    /** Number of the last end taken note of. */
    readonly lastSeen: number;
    /** On the worker's clock; undefined leaves the lease as it is. */
    readonly leaseUntil: Milliseconds | undefined;
    readonly waitMs: Milliseconds;
    readonly timeoutMs: Milliseconds;
}

export type WatchAnswer =
    | { readonly kind: "listed"; readonly list: WorkerList; }
    | { readonly kind: "refused"; readonly reason: "fence"; }
    /** Another worker answers at this address. */
    | { readonly kind: "gone"; }
    | { readonly kind: "unanswered"; readonly reason: string; };

/** One worker as its owner reaches it. Calls never reject. */
export interface WorkerDriver {
    readonly start: (order: StartOrder) => Promise<StartAnswer>;
    /** True when the worker has taken the order. */
    readonly stop: (task: TaskName, run: number, fence: number) => Promise<boolean>;
    readonly watch: (order: WatchOrder) => Promise<WatchAnswer>;
    readonly close: () => void;
}

export type ConnectWorker = (worker: WorkerAnnouncement) => WorkerDriver;

export const addRoom = (left: Room, right: Room): Room => ({
    millicores: left.millicores + right.millicores,
    memoryMebibytes: left.memoryMebibytes + right.memoryMebibytes,
    accelerators: left.accelerators + right.accelerators,
});

export const subtractRoom = (left: Room, right: Room): Room => ({
    millicores: left.millicores - right.millicores,
    memoryMebibytes: left.memoryMebibytes - right.memoryMebibytes,
    accelerators: left.accelerators - right.accelerators,
});

export const fits = (free: Room, needed: Room): boolean =>
    free.millicores >= needed.millicores
    && free.memoryMebibytes >= needed.memoryMebibytes
    && free.accelerators >= needed.accelerators;
