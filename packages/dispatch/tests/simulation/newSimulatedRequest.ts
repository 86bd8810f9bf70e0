/** Jobs as the simulations submit them. */

import { toJobId } from "@anvilmux/common";
import type { Milliseconds } from "@anvilmux/common";
import { toTaskName } from "@anvilmux/dispatch";
import type { JobRequest } from "@anvilmux/dispatch";

export interface SimulatedJob {
    readonly id: string;
    readonly taskCount: number;
    readonly taskMillicores: number;
    readonly runMs: Milliseconds;
    readonly attempts: number;
    readonly objectiveMs: Milliseconds;
    readonly remainingMs: Milliseconds;
}

export const newSimulatedRequest = (job: SimulatedJob): JobRequest => ({
    id: toJobId(job.id),
    queue: "checks",
    service: "desk",
    payload: job.id,
    tasks: Array.from({ length: job.taskCount }, (_, index) => ({
        name: toTaskName(`${job.id}.${index}`),
        millicores: job.taskMillicores,
        memoryMebibytes: 64,
        accelerators: 0,
        estimateMs: job.runMs,
    })),
    priority: 0,
    attempts: job.attempts,
    objectiveMs: job.objectiveMs,
    remainingMs: job.remainingMs,
    resubmitted: false,
    mayRunElsewhere: false,
    spilled: false,
});
