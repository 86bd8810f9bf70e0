/** Spilling: forwards tasks without free capacity in their own zone to the schedulers of other zones. */

import type { Clock, JobId } from "@anvilmux/common";
import type { Logger, Metrics } from "@anvilmux/telemetry";
import type { ScheduledJob, ScheduledTask, TaskEvents } from "./ScheduledJob";
import { chooseSpill } from "./spill";
import type { SpillChoice } from "./spill";
import type { JobAnswer, JobRequest, RemoteScheduler } from "./types";

export interface TaskSpillerOptions {
    /** The reachable schedulers of other zones, the one with the most free capacity first. */
    readonly getRemoteSchedulers: () => readonly RemoteScheduler[];
    readonly getFencingToken: () => number;
    readonly clock: Clock;
    readonly logger: Logger;
    readonly metrics: Metrics;
}

export class TaskSpiller {
    private submissionCount = 0;
    /** The highest token that a worker refused. */
    private refusedToken = 0;

    constructor(private readonly options: TaskSpillerOptions, private readonly events: TaskEvents) {}

    /** A worker refused this owner's token for a higher one. */
    handleFenced(fencingToken: number): void {
        this.refusedToken = Math.max(this.refusedToken, fencingToken);
    }

    /**
     * True from a refusal until the token is raised: another owner may have the same jobs, and workers that do not know
     * its token, those of other zones among them, would start what this owner orders.
     */
    get isFenced(): boolean {
        return this.refusedToken === this.options.getFencingToken();
    }

    /** Forwards as many waiting tasks as other zones have capacity for, once the submitter acknowledged that. */
    spill(job: ScheduledJob, waiting: readonly ScheduledTask[]): void {
        if (this.isFenced) {
            return;
        }
        const remotes = this.options.getRemoteSchedulers().filter(remote => !job.remoteTasks.has(remote.zone));
        const hasCapacity = () => remotes.some(remote => chooseFor(remote, job, waiting).tasks.length > 0);
        if (job.remoteAcknowledgement === "no" && hasCapacity()) {
            job.remoteAcknowledgement = job.submitter.announceRemoteTasks() ? "yes" : "asked";
        }
        if (job.remoteAcknowledgement === "yes") {
            remotes.forEach(remote => this.forward(job, waiting.filter(task => task.state === "waiting"), remote));
        }
    }

    /**
     * Handles the outcome of the tasks forwarded to `zone` under the number `submission`. An answer to tasks that were
     * forwarded for an earlier submission of the job, which was cancelled, is ignored. An earlier release names none.
     */
    handleAnswer(zone: string, job: ScheduledJob, answer: JobAnswer, submission: number | undefined): void {
        const forwarded = job.remoteTasks.get(zone);
        if (!forwarded || (submission !== undefined && forwarded.submission !== submission)) {
            return;
        }
        const { tasks } = forwarded;
        job.remoteTasks.delete(zone);
        if (answer.kind !== "completed" && answer.kind !== "refused") {
            this.events.onFinish(job, answer);
            return;
        }
        if (job.remoteTasks.size === 0) {
            job.remoteAcknowledgement = "no";
            job.submitter.announceNoRemoteTasks();
        }
        if (answer.kind === "completed") {
            tasks.forEach(task => this.events.onDone(job, task));
            return;
        }
        job.started -= tasks.length;
        tasks.forEach(task => this.events.onRequeue(job, task));
    }

    /** The scheduler of a zone that has tasks of the job is disconnected; whether they run is unknown. */
    handleDisconnected(zone: string, job: ScheduledJob): void {
        this.events.onFinish(job, {
            kind: "unknown",
            reason: `tasks are in zone "${zone}", which is out of reach`,
        });
    }

    /** How many of `count` tasks of the job other zones report free capacity for. */
    countSpillable(job: ScheduledJob, count: number): number {
        let remaining = job.tasks.slice(0, this.isFenced ? 0 : count);
        const wanted = remaining.length;
        if (wanted === 0) {
            return 0;
        }
        for (const remote of this.options.getRemoteSchedulers()) {
            const { tasks } = chooseFor(remote, job, remaining);
            remaining = remaining.slice(tasks.length);
        }
        return wanted - remaining.length;
    }

    /** Free capacity that other zones reported last, for the log. */
    describeCapacity(service: string): string {
        return this.options.getRemoteSchedulers()
            .map(remote => `${remote.zone}:${(remote.free[service] ?? []).reduce((sum, free) => sum + free, 0)}`)
            .join(",");
    }

    /** Cancels the job's tasks in other zones. */
    cancel(job: ScheduledJob): void {
        for (const remote of this.options.getRemoteSchedulers()) {
            if (job.remoteTasks.has(remote.zone)) {
                remote.cancel(job.request.id);
            }
        }
    }

    private forward(job: ScheduledJob, waiting: readonly ScheduledTask[], remote: RemoteScheduler): void {
        const { service, id } = job.request;
        const { tasks, freeAfter } = chooseFor(remote, job, waiting);
        if (tasks.length === 0) {
            return;
        }
        const elapsed = this.options.clock.now() - job.receivedAt;
        const request: JobRequest = {
            ...job.request,
            tasks: tasks.map(task => task.request),
            objectiveMs: job.request.objectiveMs - elapsed,
            remainingMs: job.request.remainingMs - elapsed,
            spilled: true,
        };
        this.submissionCount += 1;
        const submission = this.submissionCount;
        if (!remote.submit(request, submission, { ...remote.free, [service]: freeAfter })) {
            return;
        }
        for (const task of tasks) {
            task.state = "away";
        }
        job.remoteTasks.set(remote.zone, { submission, tasks });
        job.waiting -= tasks.length;
        job.started += tasks.length;
        this.log(id, tasks, remote, elapsed);
    }

    private log(job: JobId, tasks: readonly ScheduledTask[], remote: RemoteScheduler, waitedMs: number): void {
        this.options.metrics.count("anvilmux_spilled_tasks_total", { zone: remote.zone }, tasks.length);
        this.options.logger.info("tasks forwarded to another zone", {
            job,
            tasks: tasks.length,
            toZone: remote.zone,
            waitedMs: Math.round(waitedMs),
        });
    }
}

const chooseFor = (remote: RemoteScheduler, job: ScheduledJob, waiting: readonly ScheduledTask[]): SpillChoice =>
    chooseSpill(waiting, remote.free[job.request.service] ?? []);
