/**
 * Jobs, tasks and workers, and the driver through which a worker is called. Forwarding tasks to another zone is called
 * spilling.
 */

import type { Address, Branded, JobId, Milliseconds, ZoneId } from "@anvilmux/common";

export type WorkerId = Branded<string, "WorkerId">;
export const toWorkerId = (text: string): WorkerId => text as WorkerId;

/** Name of a task, unique across all jobs. */
export type TaskName = Branded<string, "TaskName">;
export const toTaskName = (text: string): TaskName => text as TaskName;

/** Resources that a task needs or a worker provides. */
export interface Resources {
    readonly millicores: number;
    readonly memoryMebibytes: number;
    readonly accelerators: number;
}

/** A task of a job as the caller submitted it. */
export interface TaskRequest extends Resources {
    readonly name: TaskName;
    /** The caller's rough estimate of the run time. */
    readonly estimateMs: Milliseconds;
}

/** A job that is not stored: its caller waits for the answer and resubmits the job if the answer is lost. */
export interface JobRequest {
    readonly id: JobId;
    readonly queue: string;
    readonly service: string;
    readonly payload: string;
    readonly tasks: readonly TaskRequest[];
    /** 0 is the highest priority. */
    readonly priority: number;
    /** Failed runs of one task after which the job fails. */
    readonly attempts: number;
    /** Time from arrival within which the answer is wanted, in milliseconds. */
    readonly objectiveMs: Milliseconds;
    /**
     * What each further millisecond of the longest task's run time adds to the objective; absent in earlier releases.
     */
    readonly stretch?: number;
    /** Time from now after which the caller no longer waits for the answer. */
    readonly remainingMs: Milliseconds;
    /** True when runs of its tasks may exist that this owner did not start. */
    readonly resubmitted: boolean;
    /** True when it was submitted to another owner, too, which may have started it; absent in earlier releases. */
    readonly hadOtherOwner?: boolean;
    /** The highest claim on the zone's workers that its entry has seen; absent in earlier releases. */
    readonly highestClaim?: number;
    /** True when a former owner forwarded tasks of it to another zone. */
    readonly mayRunElsewhere: boolean;
    /** True for tasks forwarded by the owner of another zone: started at once or refused, never forwarded again. */
    readonly spilled: boolean;
}

/** The entry that submitted a job to the scheduler. */
export interface JobSubmitter {
    /** Identifies the connection; a submitter that reconnected has another key. */
    readonly key: string;
    readonly answer: (answer: JobAnswer) => void;
    /**
     * Calls the listener once it is certain that the submitter still waits: it may have given the job up long ago when
     * its message is read late. Until then no task is started. Absent where there is no doubt.
     */
    readonly whenPresent?: (listener: () => void) => void;
    /**
     * Called before tasks of the job are forwarded to another zone. True when the submitter acknowledges at once;
     * otherwise it acknowledges later through the scheduler, and no task is forwarded before that.
     */
    readonly announceRemoteTasks: () => boolean;
    /** Called once the job has no more tasks in other zones. */
    readonly announceNoRemoteTasks: () => void;
}

/** Free processor capacity of each worker that currently accepts tasks, in millicores, by service. */
export type FreeCapacity = Readonly<Record<string, readonly number[]>>;

/**
 * How far the entries of a zone have submitted their jobs to a new owner: all known ones have, or only those that are
 * connected, or not all of these.
 */
export type HandoverState = "complete" | "connected" | "in-progress";

/** The scheduler of another zone. */
export interface RemoteScheduler {
    readonly zone: string;
    readonly free: FreeCapacity;
    /**
     * Forwards tasks; `freeAfter` is the capacity that then remains free. The answer names the number `submission`.
     * False while the scheduler is unreachable.
     */
    readonly submit: (request: JobRequest, submission: number, freeAfter: FreeCapacity) => boolean;
    readonly cancel: (id: JobId) => void;
}

/** Outcome of a job. `refused` means that none of its tasks ran or will run. */
export type JobAnswer =
    | { readonly kind: "completed"; }
    | { readonly kind: "failed"; readonly reason: string; }
    | { readonly kind: "refused"; readonly reason: string; readonly retryAfterMs: Milliseconds; }
    | { readonly kind: "unknown"; readonly reason: string; };

/** A worker's announcement of its service, address, state and resources. */
export interface WorkerAnnouncement {
    readonly id: WorkerId;
    /** Wall time at which this incarnation of the worker started; higher is later. */
    readonly incarnation: number;
    /** Increases with each announcement of one incarnation. */
    readonly sequence: number;
    readonly service: string;
    readonly address: Address;
    readonly zone: ZoneId;
    readonly state: "ready" | "draining" | "left";
    readonly room: Resources;
    /** Time for which the worker is cold, that is, runs tasks more slowly; absent when it is not. */
    readonly coldForMs?: Milliseconds;
}

/** Result of a run, as listed by its worker. */
export type RunResult = "done" | "failed" | "stopped" | "lapsed" | "broken";

/** The runs that a worker reports: those in progress and those that ended. */
export interface RunList {
    /** The worker's monotonic clock when it answered, in milliseconds. */
    readonly clock: Milliseconds;
    /** Incarnation of the worker that answered. */
    readonly incarnation: number;
    /** `percent`: progress of the run. */
    readonly running: readonly { readonly task: TaskName; readonly run: number; readonly percent: number; }[];
    readonly completions: readonly {
        readonly number: number;
        readonly task: TaskName;
        readonly run: number;
        readonly how: RunResult;
    }[];
    /** True when rows could not be read: a run that is not listed may be in progress. Earlier releases give none. */
    readonly isIncomplete?: boolean;
}

export interface StartOrder {
    readonly task: TaskName;
    readonly run: number;
    readonly payload: string;
    readonly fencingToken: number;
    /** On the worker's clock: a later start is refused, and the worker's lease lasts at least until then. */
    readonly deadline: Milliseconds;
}

export type StartRefusal = "fence" | "old" | "late" | "room" | "invalid" | "unhealthy";

/** A call without an answer. */
export interface Unanswered {
    readonly kind: "unanswered";
    readonly reason: string;
    /** The call may not have been made, so this tells nothing of the worker. */
    readonly isRelayLost?: boolean;
    /** Nothing listens at the worker's address: its process does not run, and the call was not received. */
    readonly isRefused?: boolean;
    /** The relay that made the call; undefined when it was made directly. */
    readonly relay?: string;
}

export interface RefusedStart {
    readonly kind: "refused";
    readonly reason: StartRefusal;
    /** The worker's clock when it refused, if reported. */
    readonly clock: Milliseconds | undefined;
    /** The relay that made the call; undefined when it was made directly. */
    readonly relay?: string;
}

/** The answer to a start; `unanswered` means that the run may have started or may start until the order's deadline. */
export type StartAnswer =
    | { readonly kind: "started"; readonly clock: Milliseconds; }
    | RefusedStart
    /** Another worker answered at this address. */
    | { readonly kind: "gone"; }
    | Unanswered;

export interface WatchOrder {
    readonly fencingToken: number;
    /** Number of the last acknowledged completion. */
    readonly lastAcknowledged: number;
    /** On the worker's clock; undefined leaves the lease unchanged. */
    readonly leaseUntil: Milliseconds | undefined;
    readonly waitMs: Milliseconds;
    readonly timeoutMs: Milliseconds;
}

export type WatchAnswer =
    | { readonly kind: "listed"; readonly list: RunList; }
    | { readonly kind: "refused"; readonly reason: "fence"; }
    /** Another worker answered at this address. */
    | { readonly kind: "gone"; }
    | Unanswered;

/** Calls to one worker by its owner. They never reject. */
export interface WorkerDriver {
    readonly start: (order: StartOrder) => Promise<StartAnswer>;
    /** True when the worker accepted the order. */
    readonly stop: (task: TaskName, run: number, fencingToken: number) => Promise<boolean>;
    readonly watch: (order: WatchOrder) => Promise<WatchAnswer>;
    readonly close: () => void;
}

/** What a call to a worker needs to know of it. */
export type WorkerTarget = Pick<WorkerAnnouncement, "id" | "address">;

export type ConnectWorker = (worker: WorkerTarget) => WorkerDriver;

export const addResources = (left: Resources, right: Resources): Resources => ({
    millicores: left.millicores + right.millicores,
    memoryMebibytes: left.memoryMebibytes + right.memoryMebibytes,
    accelerators: left.accelerators + right.accelerators,
});

export const subtractResources = (left: Resources, right: Resources): Resources => ({
    millicores: left.millicores - right.millicores,
    memoryMebibytes: left.memoryMebibytes - right.memoryMebibytes,
    accelerators: left.accelerators - right.accelerators,
});

/** The larger amount of each resource. */
export const getLargerResources = (left: Resources, right: Resources): Resources => ({
    millicores: Math.max(left.millicores, right.millicores),
    memoryMebibytes: Math.max(left.memoryMebibytes, right.memoryMebibytes),
    accelerators: Math.max(left.accelerators, right.accelerators),
});

export const fits = (free: Resources, needed: Resources): boolean =>
    free.millicores >= needed.millicores
    && free.memoryMebibytes >= needed.memoryMebibytes
    && free.accelerators >= needed.accelerators;
