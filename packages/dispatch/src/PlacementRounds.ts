/**
 * Rounds in which the waiting tasks are placed: in order of urgency as far as there is free capacity; what is left is
 * spilled to other zones. Requests for a round that come in one turn of the event loop share it.
 */

import { atTurnEnd } from "@anvilmux/common";
import type { Clock, Milliseconds } from "@anvilmux/common";
import { maximumPassedOver } from "./constants";
import type { JobTable } from "./JobTable";
import { mayHaveUnseenRuns } from "./jobTimeouts";
import type { SchedulerView } from "./jobTimeouts";
import type { OwnedWorkers } from "./OwnedWorkers";
import { mayStartTasks } from "./ScheduledJob";
import type { ScheduledJob } from "./ScheduledJob";
import type { TaskPlacer } from "./TaskPlacer";
import type { TaskSpiller } from "./TaskSpiller";
import type { ZoneDrain } from "./ZoneDrain";

export interface PlacementRoundsOptions {
    readonly clock: Clock;
    readonly jobs: JobTable;
    readonly workers: OwnedWorkers;
    readonly placer: TaskPlacer;
    readonly spiller: TaskSpiller;
    readonly drain: ZoneDrain;
    /** Returns the time since when only this owner can have started runs. */
    readonly confirmOwnership: () => Milliseconds;
    /** Until when runs of former owners may go on at workers that are not known here. */
    readonly getUnknownWorkersUntil: () => Milliseconds;
    /** False while no tasks may be forwarded to other zones. */
    readonly maySpill: () => boolean;
    /** Called for a job of another zone that could not be started at once, and for one that no zone can take. */
    readonly onUnplaced: (job: ScheduledJob) => void;
}

export class PlacementRounds {
    private isScheduled = false;
    private isStopped = false;

    constructor(private readonly options: PlacementRoundsOptions) {}

    stop(): void {
        this.isStopped = true;
    }

    /** Runs a round at the end of this turn of the event loop. */
    schedule(): void {
        if (!this.isScheduled && !this.isStopped) {
            this.isScheduled = true;
            atTurnEnd(() => {
                this.isScheduled = false;
                this.run();
            });
        }
    }

    run(): void {
        if (this.isStopped) {
            return;
        }
        const { jobs, placer, drain, onUnplaced } = this.options;
        drain.recordRoom();
        const view = this.getView();
        // Counted by service, so that jobs waiting for the workers of one service do not block those of others.
        const passedOver = new Map<string, number>();
        for (const job of jobs.getWaiting()) {
            const { service } = job.request;
            const passedOverOfService = passedOver.get(service) ?? 0;
            if (passedOverOfService >= maximumPassedOver || !mayStartTasks(job)) {
                continue;
            }
            if (!this.placeTasks(job, view)) {
                this.spill(job, view);
                if (this.cannotStartAnywhere(job, view)) {
                    onUnplaced(job);
                    continue;
                }
                passedOver.set(service, passedOverOfService + (job.waiting > 0 ? 1 : 0));
            }
            jobs.prune(job);
        }
        jobs.getWaitingFromOtherZones()
            .filter(job => job.started === 0 && job.isSubmitterPresent && !placer.hasLiveRuns(job))
            .forEach(onUnplaced);
    }

    /** The state at the start of a round; the workers are looked at once, when a job depends on them. */
    getView(): SchedulerView {
        let areAllListed: boolean | undefined;
        return {
            now: this.options.clock.now(),
            ownsSince: this.options.confirmOwnership(),
            areAllListed: () => areAllListed ??= this.options.workers.areAllListed(),
            unknownWorkersUntil: this.options.getUnknownWorkersUntil(),
        };
    }

    /**
     * True when runs of an earlier submission of the job have not ended, or may be unknown here. For forwarded tasks
     * unknown runs do not count: their refusal is about that submission only, and the owner that forwarded them knows
     * of others.
     */
    mayHaveRuns(job: ScheduledJob): boolean {
        return this.options.placer.hasLiveRuns(job)
            || (!job.request.spilled && mayHaveUnseenRuns(job, this.getView()));
    }

    /** Places the waiting tasks of a job; true when all of them were placed. */
    private placeTasks(job: ScheduledJob, view: SchedulerView): boolean {
        if (this.options.spiller.isFenced || mayHaveUnseenRuns(job, view)) {
            return false;
        }
        if (this.options.drain.isDrained) {
            this.options.drain.countBlocked(job.tasks);
            return false;
        }
        for (const task of job.tasks) {
            if (task.state === "waiting" && !this.options.placer.place(job, task)) {
                return false;
            }
        }
        return true;
    }

    private spill(job: ScheduledJob, view: SchedulerView): void {
        const { placer, spiller, maySpill } = this.options;
        if (!job.request.spilled && maySpill() && !mayHaveUnseenRuns(job, view)) {
            spiller.spill(job, job.tasks.filter(task => placer.maySpill(task)));
        }
    }

    /** True in a drained zone for a job that has no run, and for which no other zone has room. */
    private cannotStartAnywhere(job: ScheduledJob, view: SchedulerView): boolean {
        const { placer, drain, maySpill } = this.options;
        return drain.isDrained && job.started === 0 && !job.request.spilled && maySpill()
            && !placer.hasLiveRuns(job) && !mayHaveUnseenRuns(job, view)
            && drain.hasNoRoom(job.request.service, job.tasks.filter(task => placer.maySpill(task)));
    }
}
