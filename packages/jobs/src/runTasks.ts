/** The owner's side of `RunTasks`: queues another instance's tasks and streams their completions back. */

import { toJobId } from "@anvilmux/common";
import type { Clock } from "@anvilmux/common";
import type { RunTasksRequest, TaskReport } from "@anvilmux/protocol";
import { newMessageQueue } from "@anvilmux/routing";
import { toTaskReport } from "./taskMessages";
import type { TaskPool } from "./TaskPool";

/** When the stream breaks, the job's queued and running tasks are cancelled: nobody would receive their results. */
export async function* runTasks(request: RunTasksRequest, pool: TaskPool, clock: Clock): AsyncIterable<TaskReport> {
    const reports = newMessageQueue<TaskReport>();
    const jobId = toJobId(request.jobId);
    const now = clock.now();
    let unfinished = request.tasks.length;
    for (const task of request.tasks) {
        pool.submit({
            jobId,
            team: request.team,
            urgent: request.urgent,
            specification: {
                id: task.taskId,
                kind: task.kind,
                processors: task.processors,
                memoryMebibytes: task.memoryMebibytes,
                accelerators: task.accelerators,
                declaredRunMs: task.declaredRunMs,
                payload: task.payload,
            },
            enqueuedAt: now,
            deadline: now + request.remainingMs,
            report: completion => {
                unfinished -= 1;
                reports.push(toTaskReport(completion));
                if (unfinished === 0) {
                    reports.end();
                }
            },
        });
    }
    pool.serve();
    try {
        yield* reports;
    }
    finally {
        if (unfinished > 0) {
            pool.cancelJob(jobId);
        }
    }
}
