/**
 * Processor time that the scheduler takes for each task start, on virtual time and with workers in memory. Unlike that
 * of a whole owner it has no calls, logs or wake-ups in it, so it depends neither on other processes nor on the rate.
 */

import { newRandom, sampleExponential, settle, toAddress, toZoneId, VirtualTime } from "@anvilmux/common";
import type { Milliseconds } from "@anvilmux/common";
import { chooseBestFit, TaskScheduler, toWorkerId } from "@anvilmux/dispatch";
import type { JobSubmitter, TaskName } from "@anvilmux/dispatch";
import type { StandInPayload } from "@anvilmux/platform";
import { LeasedWorker } from "@anvilmux/stand-ins";
import { Metrics, newSilentLogger } from "@anvilmux/telemetry";
import { meanTasksPerJob, newJob, taskMebibytes, taskMillicores } from "./DispatchLoad";
import { workerMillicores, workerService } from "./dispatchMessages";

export interface SchedulerCostOptions {
    readonly workers: number;
    /** Task starts per second for each worker. */
    readonly startsPerWorker: number;
    /** Starts in the measurement, in the mean. */
    readonly starts: number;
    readonly seed: number;
}

/** Virtual time in which all workers are listed for the first time. */
const settleMs = 1_000;

/** Processor milliseconds for each start. */
export const measureSchedulerCost = async (options: SchedulerCostOptions): Promise<number> => {
    const { workers, startsPerWorker, starts, seed } = options;
    const time = new VirtualTime();
    const metrics = new Metrics();
    const scheduler = newScheduler(workers, time, metrics);
    const startRate = workers * startsPerWorker;
    await time.advance(settleMs);
    const stopLoad = submitJobs(scheduler, time, 1_000 * meanTasksPerJob / startRate, seed);
    await time.advance(settleMs);
    const startsBefore = metrics.getCount("anvilmux_start_orders_total");
    const processorBefore = process.cpuUsage();
    await time.advance(1_000 * starts / startRate);
    const { user, system } = process.cpuUsage(processorBefore);
    const ordered = metrics.getCount("anvilmux_start_orders_total") - startsBefore;
    stopLoad();
    scheduler.stop();
    await settle();
    return (user + system) / 1_000 / ordered;
};

const newScheduler = (workerCount: number, time: VirtualTime, metrics: Metrics): TaskScheduler => {
    const workers = new Map(
        Array.from({ length: workerCount }, (_, index) => newWorker(index, time))
            .map(worker => [worker.announcement.id, worker]),
    );
    const scheduler = new TaskScheduler({
        connect: announcement => workers.get(announcement.id)!.connect(),
        choose: chooseBestFit,
        getRemoteSchedulers: () => [],
        getFencingToken: () => 1,
        onFenced: () => undefined,
        onOutranked: () => undefined,
        clock: time,
        timers: time,
        logger: newSilentLogger(),
        metrics,
    });
    workers.forEach(worker => scheduler.setWorker(worker.announcement));
    return scheduler;
};

const runTimes = new Map<TaskName, Milliseconds>();

const newWorker = (index: number, time: VirtualTime): LeasedWorker =>
    new LeasedWorker({
        announcement: {
            id: toWorkerId(`worker-${index}`),
            incarnation: 1,
            sequence: 1,
            service: workerService,
            address: toAddress(`127.0.0.1:${index + 1}`),
            zone: toZoneId("eire-dub"),
            state: "ready",
            room: { millicores: workerMillicores, memoryMebibytes: 65_536, accelerators: 0 },
        },
        clock: time,
        // Leases are always extended in time here, so the workers' frequent checks would only add to the cost.
        timers: { after: (delay, listener) => time.after(delay, listener), every: () => () => undefined },
        getRunMs: task => runTimes.get(task) ?? 0,
        getResources: () => ({ millicores: taskMillicores, memoryMebibytes: taskMebibytes, accelerators: 0 }),
        onStart: () => undefined,
        onCompletion: task => void runTimes.delete(task),
    });

/** Submits jobs at random times; returns a function that ends this. */
const submitJobs = (
    scheduler: TaskScheduler,
    time: VirtualTime,
    meanGapMs: Milliseconds,
    seed: number,
): () => void => {
    const random = newRandom(seed);
    const submitter: JobSubmitter = {
        key: "bench",
        answer: () => undefined,
        announceRemoteTasks: () => false,
        announceNoRemoteTasks: () => undefined,
    };
    let submitted = 0;
    let isStopped = false;
    const submitNext = () => {
        if (isStopped) {
            return;
        }
        const request = newJob(submitted, random);
        submitted += 1;
        const { runMs } = JSON.parse(request.payload) as StandInPayload;
        request.tasks.forEach((task, index) => runTimes.set(task.name, runMs[index] ?? 0));
        scheduler.submit(request, submitter);
        time.after(sampleExponential(random, meanGapMs), submitNext);
    };
    submitNext();
    return () => {
        isStopped = true;
    };
};
