/** Which workers run which tasks: the basis of the check that no task runs on two workers at the same time. */

import type { Milliseconds } from "@anvilmux/common";
import type { TaskName, WorkerId } from "@anvilmux/dispatch";

export interface DoubleRun {
    readonly at: Milliseconds;
    readonly task: TaskName;
    /** Worker and run number of each run, the second one last. */
    readonly runs: readonly string[];
}

interface RunningRun {
    readonly worker: WorkerId;
    readonly run: number;
}

export class WorkerRuns {
    /** Tasks that ran on two workers at the same time. */
    readonly onTwoWorkers: DoubleRun[] = [];
    /** Tasks of which one worker had two runs at the same time. */
    readonly onOneWorker: DoubleRun[] = [];
    private readonly running = new Map<TaskName, readonly RunningRun[]>();

    recordStart(at: Milliseconds, task: TaskName, worker: WorkerId, run: number): void {
        const others = this.running.get(task) ?? [];
        const runs = [...others, { worker, run }];
        this.running.set(task, runs);
        if (others.length > 0) {
            const isOneWorker = others.every(other => other.worker === worker);
            const list = isOneWorker ? this.onOneWorker : this.onTwoWorkers;
            list.push({ at, task, runs: runs.map(one => `${one.worker} ${one.run}`) });
        }
    }

    recordEnd(task: TaskName, worker: WorkerId, run: number): void {
        const others = this.running.get(task)?.filter(one => one.worker !== worker || one.run !== run) ?? [];
        this.running.set(task, others);
    }
}
