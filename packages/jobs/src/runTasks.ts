/** The owner's side of `RunTasks`: queues another instance's tasks and streams their ends back. */

import { toJobId } from "@anvilmux/common";
import type { Clock } from "@anvilmux/common";
import type { RunTasksRequest, TaskReport } from "@anvilmux/protocol";
import { newMessageQueue } from "@anvilmux/routing";
import { toTaskReport } from "./taskMessages";
import type { TaskPool } from "./TaskPool";

/** When the stream breaks, waiting tasks are cancelled: nobody would get their answers. */
export async function* runTasks(request: RunTasksRequest, pool: TaskPool, clock: Clock): AsyncIterable<TaskReport> {
    const reports = newMessageQueue<TaskReport>();
    const jobId = toJobId(request.jobId);
    const now = clock.now();
    let open = request.tasks.length;
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
            report: end => {
                open -= 1;
                reports.push(toTaskReport(end));
                if (open === 0) {
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
        if (open > 0) {
            pool.cancelJob(jobId);
        }
    }
}
