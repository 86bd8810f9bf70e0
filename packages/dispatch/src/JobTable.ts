/** The scheduler's jobs: by id, by task, and those with waiting tasks in the order in which they are served. */

import type { JobId } from "@anvilmux/common";
import type { ScheduledJob, ScheduledTask } from "./ScheduledJob";
import type { TaskName } from "./types";

export interface JobTask {
    readonly job: ScheduledJob;
    readonly task: ScheduledTask;
}

export class JobTable {
    private readonly jobs = new Map<JobId, ScheduledJob>();
    private readonly tasks = new Map<TaskName, JobTask>();
    private queue: ScheduledJob[] = [];

    get waitingCount(): number {
        return this.queue.length;
    }

    get(id: JobId): ScheduledJob | undefined {
        return this.jobs.get(id);
    }

    getAll(): readonly ScheduledJob[] {
        return [...this.jobs.values()];
    }

    findTask(name: TaskName): JobTask | undefined {
        return this.tasks.get(name);
    }

    /** Jobs with waiting tasks, the most urgent first. */
    getWaiting(): readonly ScheduledJob[] {
        return this.queue;
    }

    add(job: ScheduledJob): void {
        this.jobs.set(job.request.id, job);
        job.tasks.forEach(task => this.tasks.set(task.request.name, { job, task }));
        this.enqueue(job);
    }

    remove(job: ScheduledJob): void {
        this.jobs.delete(job.request.id);
        job.tasks.forEach(task => this.tasks.delete(task.request.name));
        this.queue = this.queue.filter(other => other !== job);
    }

    /** Inserts a job with waiting tasks into the queue by urgency. */
    enqueue(job: ScheduledJob): void {
        if (!this.queue.includes(job)) {
            const position = this.queue.findLastIndex(other => compareUrgency(other, job) <= 0);
            this.queue = this.queue.toSpliced(position + 1, 0, job);
        }
    }

    /** Removes jobs without waiting tasks from the queue. */
    prune(): void {
        this.queue = this.queue.filter(job => job.waiting > 0);
    }
}

/** Orders jobs by the latest time at which their tasks should start, then by priority. */
const compareUrgency = (one: ScheduledJob, other: ScheduledJob): number =>
    one.startBy - other.startBy || one.request.priority - other.request.priority;
