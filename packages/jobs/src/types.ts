/** Jobs, tasks and their outcomes, with the schema of a submission. */

import type { Address, JobId, Milliseconds } from "@anvilmux/common";
import type { WorkerAnnouncement } from "@anvilmux/membership";
import * as z from "zod";
import { maximumPayloadBytes } from "./constants";

const taskSchema = z.strictObject({
    id: z.string().regex(/^[\w.-]{1,64}$/, "use letters, digits, dot, dash and underscore, at most 64"),
    kind: z.string().min(1).max(63).default("task"),
    processors: z.number().positive().max(4_096).default(1),
    memoryMebibytes: z.number().nonnegative().max(16_777_216).default(0),
    accelerators: z.int().nonnegative().max(1_024).default(0),
    declaredRunMs: z.number().positive().max(86_400_000).default(200),
    payload: z.string().max(maximumPayloadBytes).default(""),
});

/** The document a caller submits: every task is known from the start. */
export const submissionSchema = z.strictObject({
    submissionId: z.string().min(1).max(128).optional(),
    urgent: z.boolean().default(false),
    deadlineMs: z.number().positive().max(86_400_000).optional(),
    tasks: z.array(taskSchema).min(1),
});

export type TaskSpecification = Readonly<z.infer<typeof taskSchema>>;
export type Submission = Readonly<z.infer<typeof submissionSchema>>;

export type TaskOutcomeName = "answered" | "failed" | "not-run" | "unknown";

/** Outcome and result of one task. */
export interface TaskCompletion {
    readonly taskId: string;
    readonly outcome: TaskOutcomeName;
    readonly result: string;
    readonly reason: string;
    readonly workerId: string;
    readonly queued: Milliseconds;
    readonly run: Milliseconds;
}

export type JobState = "running" | "complete" | "failed";

/** A job as callers see it. Results are present only when every task was answered. */
export interface JobDocument {
    readonly jobId: JobId;
    readonly state: JobState;
    readonly outcome: "answered" | "not-run" | "unknown" | "pending";
    readonly finishedTasks: number;
    readonly totalTasks: number;
    readonly results?: Readonly<Record<string, string>>;
    readonly tasks: readonly {
        readonly id: string;
        readonly outcome: TaskOutcomeName | "pending";
        readonly reason: string;
    }[];
}

/** A task that an owner accepted. */
export interface OwnedTask {
    readonly jobId: JobId;
    readonly team: string;
    readonly urgent: boolean;
    readonly specification: TaskSpecification;
    readonly enqueuedAt: Milliseconds;
    /** Latest time at which the task may start. */
    readonly deadline: Milliseconds;
    readonly report: (completion: TaskCompletion) => void;
}

/** The entry that owns some of the zone's workers. */
export interface WorkerOwner {
    readonly instanceId: string;
    readonly address: Address;
    readonly workers: readonly WorkerAnnouncement[];
}
