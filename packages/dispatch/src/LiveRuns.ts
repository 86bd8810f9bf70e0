/** The workers on which each task runs or may still run. A task has more than one of them only after a fault. */

import type { TaskName } from "./types";
import type { WorkerSession } from "./WorkerSession";

const none: readonly WorkerSession[] = [];

export class LiveRuns {
    private readonly workers = new Map<TaskName, readonly WorkerSession[]>();

    has(task: TaskName): boolean {
        return this.workers.has(task);
    }

    get(task: TaskName): readonly WorkerSession[] {
        return this.workers.get(task) ?? none;
    }

    add(task: TaskName, worker: WorkerSession): void {
        const present = this.get(task);
        if (!present.includes(worker)) {
            this.workers.set(task, [...present, worker]);
        }
    }

    remove(task: TaskName, worker: WorkerSession): void {
        const remaining = this.get(task).filter(other => other !== worker);
        if (remaining.length > 0) {
            this.workers.set(task, remaining);
        }
        else {
            this.workers.delete(task);
        }
    }
}
