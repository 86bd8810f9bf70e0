/** Hands tasks that find no room in their own zone to the pools of other zones. */

import type { Clock, JobId } from "@anvilmux/common";
import type { Logger, Metrics } from "@anvilmux/telemetry";
import type { PoolJob, PoolTask, TaskEvents } from "./PoolJob";
import { chooseSpill } from "./spill";
import type { SpillChoice } from "./spill";
import type { JobAnswer, RemotePool } from "./types";

export interface TaskSpillerOptions {
    /** The pools of other zones that can be reached, the one with the most room first. */
    readonly getRemotePools: () => readonly RemotePool[];
    readonly clock: Clock;
    readonly logger: Logger;
    readonly metrics: Metrics;
}

export class TaskSpiller {
    constructor(private readonly options: TaskSpillerOptions, private readonly events: TaskEvents) {}

    /** Hands over as many of the waiting tasks as other zones have room for, once the home knows of it. */
    spill(job: PoolJob, waiting: readonly PoolTask[]): void {
        const remotes = this.options.getRemotePools().filter(remote => !job.away.has(remote.zone));
        const isRoom = () => remotes.some(remote => chooseFor(remote, job, waiting).tasks.length > 0);
        if (job.awayKnown === "no" && isRoom()) {
            job.awayKnown = job.home.noteAway() ? "yes" : "asked";
        }
        if (job.awayKnown === "yes") {
            remotes.forEach(remote => this.handOver(job, waiting.filter(task => task.state === "waiting"), remote));
        }
    }

    /** Takes note of what became of the tasks that `zone` has. */
    noteAnswer(zone: string, job: PoolJob, answer: JobAnswer): void {
        const tasks = job.away.get(zone);
        if (!tasks) {
            return;
        }
        job.away.delete(zone);
        if (answer.kind !== "completed" && answer.kind !== "refused") {
            this.events.onFinish(job, answer);
            return;
        }
        if (job.away.size === 0) {
            job.awayKnown = "no";
            job.home.noteBack();
        }
        if (answer.kind === "completed") {
            tasks.forEach(task => this.events.onDone(job, task));
            return;
        }
        job.started -= tasks.length;
        tasks.forEach(task => this.events.onAgain(job, task));
    }

    /** The pool of another zone is out of reach; whether the tasks handed to it run is not known. */
    noteLost(zone: string, job: PoolJob): void {
        if (job.away.has(zone)) {
            this.events.onFinish(job, {
                kind: "unknown",
                reason: `tasks are in zone "${zone}", which is out of reach`,
            });
        }
    }

    /** What other zones reported last, for the log. */
    describeRoom(service: string): string {
        return this.options.getRemotePools()
            .map(remote => `${remote.zone}:${(remote.free[service] ?? []).reduce((sum, free) => sum + free, 0)}`)
            .join(",");
    }

    /** Ends what other zones still do for the job. */
    cancel(job: PoolJob): void {
        for (const remote of this.options.getRemotePools()) {
            if (job.away.has(remote.zone)) {
                remote.cancel(job.request.id);
            }
        }
    }

    private handOver(job: PoolJob, waiting: readonly PoolTask[], remote: RemotePool): void {
        const { service, id } = job.request;
        const { tasks, left } = chooseFor(remote, job, waiting);
        if (tasks.length === 0) {
            return;
        }
        const elapsed = this.options.clock.now() - job.receivedAt;
        const isSent = remote.submit({
            ...job.request,
            tasks: tasks.map(task => task.request),
            objectiveMs: job.request.objectiveMs - elapsed,
            remainingMs: job.request.remainingMs - elapsed,
            spilled: true,
        }, { ...remote.free, [service]: left });
        if (!isSent) {
            return;
        }
        for (const task of tasks) {
            task.state = "away";
        }
        job.away.set(remote.zone, tasks);
        job.waiting -= tasks.length;
        job.started += tasks.length;
        this.log(id, tasks, remote, elapsed);
    }

    private log(job: JobId, tasks: readonly PoolTask[], remote: RemotePool, waitedMs: number): void {
        this.options.metrics.count("anvilmux_spilled_tasks_total", { zone: remote.zone }, tasks.length);
        this.options.logger.info("tasks handed to another zone", {
            job,
            tasks: tasks.length,
            toZone: remote.zone,
            waitedMs: Math.round(waitedMs),
        });
    }
}

const chooseFor = (remote: RemotePool, job: PoolJob, waiting: readonly PoolTask[]): SpillChoice =>
    chooseSpill(waiting, remote.free[job.request.service] ?? []);
