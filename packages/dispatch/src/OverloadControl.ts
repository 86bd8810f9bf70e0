/**
 * Admission of jobs by a forecast, and the job times and worker penalties that follow from learnt run times. While
 * demand exceeds the capacity, jobs that cannot be served in time are refused at arrival, before anything of them has
 * run, and admitted jobs keep their place.
 */

import type { Clock, Milliseconds } from "@anvilmux/common";
import type { Logger, Metrics } from "@anvilmux/telemetry";
import { decideAdmission } from "./admission";
import type { AdmissionDecision, AdmissionInput } from "./admission";
import { CapacityForecast, getHorizon } from "./CapacityForecast";
import type { WaitingDemand } from "./CapacityForecast";
import {
    answerOverheadMs,
    learntRetentionMs,
    longestRefusalRetryMs,
    maximumLearntNames,
    refusalRetryMs,
} from "./constants";
import { DemandRates } from "./DemandRates";
import { ForecastError } from "./ForecastError";
import type { JobTable } from "./JobTable";
import type { OverloadSettings } from "./overloadPolicy";
import { defaultOverloadSettings } from "./overloadPolicy";
import type { OwnedWorkers } from "./OwnedWorkers";
import { RecentMap } from "./RecentMap";
import { RunTimeModel } from "./RunTimeModel";
import { getLongestEstimate, getTimesByEstimate } from "./ScheduledJob";
import type { JobTimes, ScheduledJob, ScheduledTask } from "./ScheduledJob";
import { getPrecedingDemand, isBelowMinimum, isScarce, mayWaitForCapacity } from "./shares";
import type { ServiceShares } from "./shares";
import { getLargerResources } from "./types";
import type { JobAnswer, JobRequest, Resources } from "./types";
import { newLatenessPenalty } from "./workerChoice";
import type { GetPenalty } from "./workerChoice";
import type { WorkerSession } from "./WorkerSession";

export interface OverloadControlOptions {
    readonly clock: Clock;
    readonly logger: Logger;
    readonly metrics: Metrics;
    readonly jobs: JobTable;
    readonly workers: OwnedWorkers;
    /** How many of `count` tasks of the job other zones report free capacity for. */
    readonly countSpillable: (job: ScheduledJob, count: number) => number;
    /** True while the workers get no tasks because their zone is drained. */
    readonly isDrained: () => boolean;
    readonly getOverloadSettings?: () => OverloadSettings;
}

/** Time for which a forecast is used again, as computing it visits every running task. */
const forecastValidityMs = 12;
/** Time for which the capacity of a service is used again. */
const capacityValidityMs = 50;
/** A run beyond its expected end is expected to take this share of the excess once more. */
const overrunShare = 0.4;
/** A run that took this many times its expected time is one of the few that take several times as long. */
const stragglerFactor = 2;
/** Expected remaining time of such a run, in expected times. */
const stragglerRemainingFactor = 4;
/** Jobs of the largest queue that the capacity holds at least where it is forecast as if it were divisible. */
const minimumJobsInCapacity = 5;
/** A job waits behind jobs of the next higher priority that have to start within this time after it. */
const priorityStepMs = 100;
const noResources: Resources = { millicores: 0, memoryMebibytes: 0, accelerators: 0 };

/** What was last computed for a service, which is used again for a short time. */
interface Computed<Value> {
    readonly at: Milliseconds;
    readonly service: string;
    readonly value: Value;
}

/** Rates of the queues of one service; other services have other workers. */
interface ServiceRates {
    readonly demand: DemandRates;
    readonly admitted: DemandRates;
}

export class OverloadControl {
    private readonly runTimes: RunTimeModel;
    private readonly rates: RecentMap<string, ServiceRates>;
    /** How much later than forecast the jobs of each queue start. */
    private readonly errors: RecentMap<string, ForecastError>;
    /** When admitted jobs that wait should have all their processors. */
    private readonly promises = new WeakMap<ScheduledJob, Milliseconds>();
    /** Forecasts by their horizon. */
    private readonly forecasts = new Map<Milliseconds, Computed<CapacityForecast>>();
    private capacity: Computed<number> | undefined;

    constructor(private readonly options: OverloadControlOptions) {
        const { clock } = options;
        this.runTimes = new RunTimeModel(clock);
        this.rates = new RecentMap(clock, learntRetentionMs, maximumLearntNames);
        this.errors = new RecentMap(clock, learntRetentionMs, maximumLearntNames);
    }

    private get settings(): OverloadSettings {
        return this.options.getOverloadSettings?.() ?? defaultOverloadSettings;
    }

    private get isForecastWanted(): boolean {
        return this.settings.policy === "forecast";
    }

    /** The forecast holds where one job takes a small part of the capacity; elsewhere jobs are served by deadline. */
    private isForecasting(service: string): boolean {
        if (!this.isForecastWanted) {
            return false;
        }
        const largestJobMillicores = this.rates.get(service)?.demand.largestJobMillicores ?? 0;
        return largestJobMillicores > 0
            && this.getCapacity(service) >= minimumJobsInCapacity * largestJobMillicores;
    }

    /** When a job has to start and to end. */
    getTimes(request: JobRequest, receivedAt: Milliseconds): JobTimes {
        if (!this.isForecasting(request.service)) {
            return getTimesByEstimate(request, receivedAt);
        }
        const estimateMs = getLongestEstimate(request);
        const runMs = this.runTimes.expect(request.queue, estimateMs);
        const objectiveMs = request.objectiveMs + (request.stretch ?? 1) * (runMs - estimateMs);
        const endBy = receivedAt + Math.max(0, objectiveMs - answerOverheadMs);
        const startBy = Math.max(receivedAt, endBy - runMs);
        const isPreferred = isBelowMinimum(request.queue, this.getShares(request.service));
        return {
            runMs,
            endBy,
            startBy,
            servedBy: startBy + (isPreferred ? -priorityStepMs : request.priority * priorityStepMs),
            abortAfter: startBy,
        };
    }

    /** The refusal of a job that cannot start in time; undefined for one that is admitted. */
    refuse(job: ScheduledJob): JobAnswer | undefined {
        if (!this.isForecastWanted || job.request.spilled) {
            return undefined;
        }
        const { service, queue, priority } = job.request;
        const millicores = getWaitingMillicores(job);
        const rates = this.rates.get(service) ?? newServiceRates(this.options.clock);
        this.rates.set(service, rates);
        // Also while the zone is drained, so that the demand is known when it is restored.
        rates.demand.record(queue, priority, millicores, job.runMs);
        // Without workers in use the capacity is unknown: a new owner has not reached them, or the zone is drained.
        if (!this.isForecasting(service)) {
            return undefined;
        }
        const decision = this.decide(job, millicores);
        const { isAdmitted, startsInMs, cause = "" } = decision;
        this.options.metrics.count("anvilmux_admissions_total", {
            queue,
            decision: isAdmitted ? "admitted" : "refused",
            cause,
        });
        if (!isAdmitted) {
            this.logRefusal(job, decision);
            const retryAfterMs = Math.min(longestRefusalRetryMs, Math.max(refusalRetryMs, startsInMs));
            return { kind: "refused", reason: "no capacity in time", retryAfterMs };
        }
        rates.admitted.record(queue, priority, millicores, job.runMs);
        if (startsInMs > 0) {
            this.promises.set(job, this.options.clock.now() + startsInMs);
            // A job with a promised start is not given up, even when late, before its caller stops waiting.
            job.abortAfter = job.receivedAt + job.request.remainingMs;
        }
        return undefined;
    }

    /** Records that a task of the job was placed. */
    recordPlacement(job: ScheduledJob): void {
        const promised = job.waiting === 0 ? this.promises.get(job) : undefined;
        if (promised !== undefined) {
            const now = this.options.clock.now();
            this.promises.delete(job);
            const { queue } = job.request;
            const error = this.errors.get(queue) ?? new ForecastError(this.options.clock);
            error.record(now - promised);
            this.errors.set(queue, error);
            this.options.metrics.count("anvilmux_promises_total", { result: now <= job.startBy ? "kept" : "late" });
        }
    }

    /** Records a run that ended `done`; nothing is learnt while no forecast depends on it. */
    recordRun(job: ScheduledJob, task: ScheduledTask, session: WorkerSession, ranMs: Milliseconds): void {
        if (!this.isForecastWanted) {
            return;
        }
        const { queue } = job.request;
        const { estimateMs } = task.request;
        const { workers } = this.options;
        const expectedMs = this.runTimes.expect(queue, estimateMs);
        this.runTimes.record(queue, estimateMs, ranMs * workers.getSpeed(session));
        workers.recordSpeed(session, expectedMs, ranMs);
    }

    /** Extra cost of each worker for a task of the job; undefined where the workers' records decide alone. */
    getPenaltyFor(job: ScheduledJob): GetPenalty | undefined {
        return this.isForecasting(job.request.service)
            ? newLatenessPenalty({
                runMs: job.runMs,
                leftMs: job.endBy - this.options.clock.now(),
                getSpeed: session => this.options.workers.getSpeed(session),
                getRecordPenalty: session => this.options.workers.getRecordPenalty(session),
            })
            : undefined;
    }

    private decide(job: ScheduledJob, millicores: number): AdmissionDecision {
        const missingHere = this.countMissing(job);
        const missing = missingHere - this.options.countSpillable(job, missingHere);
        if (missing === 0) {
            return { isAdmitted: true, startsInMs: 0 };
        }
        const { service } = job.request;
        const shares = { ...job.request, ...this.getShares(service) };
        if (!isScarce(shares)) {
            // The demand falls soon, so that waiting takes no capacity from later jobs.
            return { isAdmitted: true, startsInMs: 0 };
        }
        if (missing === job.tasks.length && !mayWaitForCapacity(shares)) {
            return { isAdmitted: false, startsInMs: Infinity, cause: "less-important" };
        }
        const waiting = this.toDemand(job, millicores * missing / job.tasks.length);
        return decideAdmission({
            job: waiting,
            ...this.getWaitingAround(job),
            expected: getPrecedingDemand(shares),
            forecast: this.getForecast(service, getHorizon(waiting.slackMs)),
        });
    }

    /** The waiting jobs of the same service that are served before the job, and those after it. */
    private getWaitingAround(job: ScheduledJob): Pick<AdmissionInput, "ahead" | "behind"> {
        const ahead: WaitingDemand[] = [];
        const behind: WaitingDemand[] = [];
        for (const other of this.options.jobs.getWaiting()) {
            if (other.request.service === job.request.service) {
                (other.servedBy <= job.servedBy ? ahead : behind).push(
                    this.toDemand(other, getWaitingMillicores(other)),
                );
            }
        }
        return { ahead, behind };
    }

    private toDemand(job: ScheduledJob, millicores: number): WaitingDemand {
        const margin = this.getMargin(job.request.queue);
        const leftMs = job.startBy - this.options.clock.now();
        return { millicores, runMs: job.runMs, slackMs: Math.max(0, leftMs - margin) };
    }

    /** Tasks of the job that the free capacity does not suffice for. */
    private countMissing(job: ScheduledJob): number {
        const largest = job.tasks.reduce<Resources>(
            (most, task) => getLargerResources(most, task.request),
            noResources,
        );
        const getPenalty = this.getPenaltyFor(job) ?? (() => 0);
        return this.options.workers.countMissing(job.request.service, largest, job.tasks.length, getPenalty);
    }

    private getMargin(queue: string): Milliseconds {
        return this.errors.get(queue)?.margin ?? 0;
    }

    private getShares(service: string): ServiceShares {
        const rates = this.rates.get(service);
        return {
            demand: rates?.demand.getAll() ?? [],
            admitted: rates?.admitted.getAll() ?? [],
            capacity: this.getCapacity(service),
            minimumShares: this.settings.minimumShares,
        };
    }

    private getCapacity(service: string): number {
        if (this.options.isDrained()) {
            return 0;
        }
        const now = this.options.clock.now();
        if (!this.capacity || now - this.capacity.at >= capacityValidityMs || this.capacity.service !== service) {
            this.capacity = { at: now, service, value: this.options.workers.getCapacity(service) };
        }
        return this.capacity.value;
    }

    private getForecast(service: string, horizonMs: Milliseconds): CapacityForecast {
        const now = this.options.clock.now();
        const present = this.forecasts.get(horizonMs);
        if (present?.service === service && now - present.at < forecastValidityMs) {
            return present.value;
        }
        const value = this.newForecast(service, horizonMs, now);
        this.forecasts.set(horizonMs, { at: now, service, value });
        return value;
    }

    private newForecast(service: string, horizonMs: Milliseconds, now: Milliseconds): CapacityForecast {
        const forecast = new CapacityForecast(horizonMs);
        for (const job of this.options.jobs.getAll()) {
            if (job.request.service !== service) {
                continue;
            }
            for (const { state, session, placedAt, request } of job.tasks) {
                if (state === "placed" && session) {
                    const expectedMs = job.runMs / this.options.workers.getSpeed(session);
                    forecast.addRelease(getRemaining(now - placedAt, expectedMs), request.millicores);
                }
            }
        }
        return forecast;
    }

    private logRefusal(job: ScheduledJob, { startsInMs, cause }: AdmissionDecision): void {
        const { id, queue, service } = job.request;
        this.options.logger.info("job not admitted", {
            job: id,
            queue,
            cause,
            startsInMs: Number.isFinite(startsInMs) ? Math.round(startsInMs) : undefined,
            slackMs: Math.round(job.startBy - job.receivedAt),
            marginMs: Math.round(this.getMargin(queue)),
            runMs: Math.round(job.runMs),
            tasks: job.tasks.length,
            waitingJobs: this.options.jobs.waitingCount,
            belowMinimum: isBelowMinimum(queue, this.getShares(service)),
        });
    }
}

const newServiceRates = (clock: Clock): ServiceRates => ({
    demand: new DemandRates(clock),
    admitted: new DemandRates(clock),
});

/** The remaining time that a run is expected to take. */
const getRemaining = (elapsedMs: Milliseconds, expectedMs: Milliseconds): Milliseconds => {
    if (elapsedMs > stragglerFactor * expectedMs) {
        return stragglerRemainingFactor * expectedMs;
    }
    return Math.max(expectedMs - elapsedMs, overrunShare * (elapsedMs - expectedMs), 0);
};

const getWaitingMillicores = (job: ScheduledJob): number =>
    job.tasks.reduce((sum, task) => sum + (task.state === "waiting" ? task.request.millicores : 0), 0);
