/** Handles the end of a run: its task is done, its task is queued again, or its job ends. */

import type { CrashSuspects } from "./CrashSuspects";
import type { OverloadControl } from "./OverloadControl";
import type { OwnedWorkers } from "./OwnedWorkers";
import { runsSkippedAfterOld } from "./runNumbers";
import type { Run, RunEnd } from "./RunTable";
import type { ScheduledJob, ScheduledTask, TaskEvents } from "./ScheduledJob";
import { logCrash, logUnsuccessfulRun } from "./schedulerLog";
import type { SchedulerLogContext } from "./schedulerLog";
import type { WorkerSession } from "./WorkerSession";

export class RunCompletionHandler {
    constructor(
        private readonly context: SchedulerLogContext,
        private readonly workers: OwnedWorkers,
        private readonly suspects: CrashSuspects,
        private readonly overload: OverloadControl,
        private readonly events: TaskEvents,
    ) {}

    handle(job: ScheduledJob, task: ScheduledTask, session: WorkerSession, run: Run, end: RunEnd): void {
        const { outcome, cause } = end;
        const { metrics, clock } = this.context;
        const ranMs = clock.now() - task.placedAt;
        metrics.count("anvilmux_run_ends_total", { outcome, cause });
        if (outcome !== "done") {
            logUnsuccessfulRun(this.context, job, task, session, run, end);
        }
        task.session = undefined;
        switch (outcome) {
            case "done":
                this.suspects.clear(run.task);
                this.overload.recordRun(job, task, session, ranMs);
                this.workers.recordSuccess(session, ranMs / Math.max(1, task.request.estimateMs));
                this.events.onDone(job, task);
                return;
            case "failed":
                this.handleFailure(job, task, session);
                return;
            case "invalid":
                this.events.onFinish(job, { kind: "failed", reason: `the worker cannot read task ${run.task}` });
                return;
            case "crashed":
                this.handleCrashedRun(job, task);
                return;
            case "stopped":
            case "never-started":
                task.avoided.push(session);
                this.events.onRequeue(job, task);
                return;
            case "refused-old":
                task.lastRun += runsSkippedAfterOld;
                this.events.onRequeue(job, task);
                return;
            default:
                this.events.onRequeue(job, task);
        }
    }

    /** Suspects the runs of a worker that crashed; their ends follow. */
    handleCrash(session: WorkerSession, runs: readonly Run[]): void {
        this.suspects.recordCrash(runs.map(run => run.task));
        logCrash(this.context, session, runs);
    }

    private handleCrashedRun(job: ScheduledJob, task: ScheduledTask): void {
        const answer = this.suspects.findAnswer([task.request]);
        if (answer) {
            this.events.onFinish(job, answer);
            return;
        }
        this.events.onRequeue(job, task);
    }

    private handleFailure(job: ScheduledJob, task: ScheduledTask, session: WorkerSession): void {
        this.workers.recordFailure(session);
        task.failures += 1;
        task.avoided.push(session);
        if (task.failures >= job.request.attempts) {
            this.events.onFinish(job, {
                kind: "failed",
                reason: `task ${task.request.name} failed ${task.failures} times`,
            });
            return;
        }
        this.events.onRequeue(job, task);
    }
}
