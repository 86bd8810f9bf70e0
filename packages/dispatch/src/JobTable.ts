/** The jobs of a pool: by id, by task, and those with waiting tasks in the order in which they are served. */

import type { JobId } from "@anvilmux/common";
import type { PoolJob, PoolTask } from "./PoolJob";
import type { TaskName } from "./types";

export interface JobTask {
    readonly job: PoolJob;
    readonly task: PoolTask;
}

export class JobTable {
    private readonly jobs = new Map<JobId, PoolJob>();
    private readonly tasks = new Map<TaskName, JobTask>();
    private queue: PoolJob[] = [];

    get waitingCount(): number {
        return this.queue.length;
    }

    get(id: JobId): PoolJob | undefined {
        return this.jobs.get(id);
    }

    getAll(): readonly PoolJob[] {
        return [...this.jobs.values()];
    }

    findTask(name: TaskName): JobTask | undefined {
        return this.tasks.get(name);
    }

    /** Jobs with waiting tasks, the one to be served first in front. */
    getWaiting(): readonly PoolJob[] {
        return this.queue;
    }

    add(job: PoolJob): void {
        this.jobs.set(job.request.id, job);
        job.tasks.forEach(task => this.tasks.set(task.request.name, { job, task }));
        this.enqueue(job);
    }

    remove(job: PoolJob): void {
        this.jobs.delete(job.request.id);
        job.tasks.forEach(task => this.tasks.delete(task.request.name));
        this.queue = this.queue.filter(other => other !== job);
    }

    /** Puts a job with waiting tasks in its place. */
    enqueue(job: PoolJob): void {
        if (!this.queue.includes(job)) {
            const position = this.queue.findLastIndex(other => compareUrgency(other, job) <= 0);
            this.queue = this.queue.toSpliced(position + 1, 0, job);
        }
    }

    /** Drops jobs without waiting tasks from the queue. */
    prune(): void {
        this.queue = this.queue.filter(job => job.waiting > 0);
    }
}

/** The latest time at which tasks should start decides, then the priority. */
const compareUrgency = (one: PoolJob, other: PoolJob): number =>
    one.startBy - other.startBy || one.request.priority - other.request.priority;
