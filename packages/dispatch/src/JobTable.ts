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
    private readonly queue: ScheduledJob[] = [];
    private readonly queued = new Set<ScheduledJob>();
    private readonly queuedFromOtherZones = new Set<ScheduledJob>();

    get waitingCount(): number {
        return this.queue.length;
    }

    get(id: JobId): ScheduledJob | undefined {
        return this.jobs.get(id);
    }

    getAll(): readonly ScheduledJob[] {
        return [...this.jobs.values()];
    }

    /** The jobs of a submitter. */
    getAllOf(submitterKey: string): readonly ScheduledJob[] {
        return this.getAll().filter(({ submitter }) => submitter.key === submitterKey);
    }

    hasJobsOf(submitterKey: string): boolean {
        for (const job of this.jobs.values()) {
            if (job.submitter.key === submitterKey) {
                return true;
            }
        }
        return false;
    }

    findTask(name: TaskName): JobTask | undefined {
        return this.tasks.get(name);
    }

    /** Jobs with waiting tasks, the most urgent first. The job that is visited may be removed meanwhile. */
    *getWaiting(): Iterable<ScheduledJob> {
        for (let index = 0; index < this.queue.length;) {
            const job = this.queue[index]!;
            yield job;
            index += this.queue[index] === job ? 1 : 0;
        }
    }

    /** Jobs with waiting tasks that other zones forwarded. */
    getWaitingFromOtherZones(): readonly ScheduledJob[] {
        return [...this.queuedFromOtherZones];
    }

    add(job: ScheduledJob): void {
        this.jobs.set(job.request.id, job);
        job.tasks.forEach(task => this.tasks.set(task.request.name, { job, task }));
        this.enqueue(job);
    }

    remove(job: ScheduledJob): void {
        this.jobs.delete(job.request.id);
        job.tasks.forEach(task => this.tasks.delete(task.request.name));
        this.dequeue(job);
    }

    /** Inserts a job with waiting tasks into the queue by urgency. */
    enqueue(job: ScheduledJob): void {
        if (this.queued.has(job)) {
            return;
        }
        this.queue.splice(this.findIndex(other => compareUrgency(other, job) > 0), 0, job);
        this.queued.add(job);
        if (job.request.spilled) {
            this.queuedFromOtherZones.add(job);
        }
    }

    /** Removes a job from the queue when none of its tasks waits. */
    prune(job: ScheduledJob): void {
        if (job.waiting === 0) {
            this.dequeue(job);
        }
    }

    private dequeue(job: ScheduledJob): void {
        if (this.queued.delete(job)) {
            const firstOfUrgency = this.findIndex(other => compareUrgency(other, job) >= 0);
            this.queue.splice(this.queue.indexOf(job, firstOfUrgency), 1);
            this.queuedFromOtherZones.delete(job);
        }
    }

    /** Index of the first queued job of those, at the end of the queue, that match; the queue's length if none does. */
    private findIndex(matches: (job: ScheduledJob) => boolean): number {
        let low = 0;
        let high = this.queue.length;
        while (low < high) {
            const middle = (low + high) >>> 1;
            if (matches(this.queue[middle]!)) {
                high = middle;
            }
            else {
                low = middle + 1;
            }
        }
        return low;
    }
}

/** Orders jobs by `servedBy`, then by priority. */
const compareUrgency = (one: ScheduledJob, other: ScheduledJob): number =>
    one.servedBy - other.servedBy || one.request.priority - other.request.priority;
