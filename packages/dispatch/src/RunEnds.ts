/** What follows from the end of a run: its task is done, runs again elsewhere, or its job ends. */

import type { OwnedWorkers } from "./OwnedWorkers";
import type { PoolJob, PoolTask, TaskEvents } from "./PoolJob";
import { logRunEnd } from "./poolLog";
import type { PoolLog } from "./poolLog";
import { runsSkippedAfterOld } from "./runNumbers";
import type { Run, RunOutcome } from "./RunTable";
import type { WorkerSession } from "./WorkerSession";

export class RunEnds {
    constructor(
        private readonly log: PoolLog,
        private readonly workers: OwnedWorkers,
        private readonly events: TaskEvents,
    ) {}

    note(job: PoolJob, task: PoolTask, session: WorkerSession, run: Run, outcome: RunOutcome): void {
        const { metrics, clock } = this.log;
        const ranMs = clock.now() - task.placedAt;
        metrics.count("anvilmux_run_ends_total", { outcome });
        if (outcome !== "done") {
            logRunEnd(this.log, job, task, run, outcome);
        }
        task.session = undefined;
        switch (outcome) {
            case "done":
                this.workers.noteDone(session, ranMs / Math.max(1, task.request.estimateMs));
                this.events.onDone(job, task);
                return;
            case "failed":
                this.noteFailure(job, task, session);
                return;
            case "invalid":
                this.events.onFinish(job, { kind: "failed", reason: `the worker cannot read task ${run.task}` });
                return;
            case "stopped":
            case "never-started":
                task.avoided.push(session);
                this.events.onAgain(job, task);
                return;
            case "refused-old":
                task.lastRun += runsSkippedAfterOld;
                this.events.onAgain(job, task);
                return;
            default:
                this.events.onAgain(job, task);
        }
    }

    private noteFailure(job: PoolJob, task: PoolTask, session: WorkerSession): void {
        this.workers.noteFailed(session);
        task.failures += 1;
        task.avoided.push(session);
        if (task.failures >= job.request.attempts) {
            this.events.onFinish(job, {
                kind: "failed",
                reason: `task ${task.request.name} failed ${task.failures} times`,
            });
            return;
        }
        this.events.onAgain(job, task);
    }
}
