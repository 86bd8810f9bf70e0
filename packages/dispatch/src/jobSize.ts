/** What a job occupies while it waits, whatever its body weighed: a task is an object at its entry, and another at its owner. */

import type { JobId, Milliseconds } from "@anvilmux/common";
import type { JobRequest } from "./types";

/** What is known of a job before its tasks are created. */
export interface JobOutline {
    readonly id: JobId;
    readonly service: string;
    readonly payloadCharacters: number;
    readonly taskCount: number;
    /** Processor time of all tasks by their estimates, in milliseconds of a thousandth of a processor. */
    readonly work: number;
    /** Time from its first arrival after which no caller waits for it. */
    readonly availableMs: Milliseconds;
}

/** Holds memory for a job until the returned function is called; undefined when there is not enough. */
export type HoldMemory = (bytes: number) => (() => void) | undefined;

export const holdUnlimited: HoldMemory = () => () => undefined;

/** A request with its caller, or a job with its place in the queue. */
const jobBytes = 1_024;
/** The task as the caller submitted it, with its name, and its part of the message to the owner. */
const requestedTaskBytes = 320;
/** What its owner adds: its state, and its places in the tables of tasks. */
const scheduledTaskBytes = 400;

/** Bytes of a job at the entry where its caller waits. */
export const getRequestBytes = (
    { payloadCharacters, taskCount }: Pick<JobOutline, "payloadCharacters" | "taskCount">,
): number => jobBytes + payloadCharacters + taskCount * requestedTaskBytes;

/** Bytes of a job at the owner of the zone's workers. */
export const getScheduledBytes = ({ payload, tasks }: JobRequest): number =>
    jobBytes + payload.length + tasks.length * scheduledTaskBytes;
