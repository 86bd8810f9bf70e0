/** Leased workers, schedulers that own them and a check that no task runs twice at once, all on virtual time. */

import { toAddress, toJobId, toZoneId, VirtualTime } from "@anvilmux/common";
import type { Milliseconds } from "@anvilmux/common";
import { chooseBestFit, TaskScheduler, toTaskName, toWorkerId } from "@anvilmux/dispatch";
import type {
    ConnectWorker,
    JobAnswer,
    JobRequest,
    JobSubmitter,
    RemoteScheduler,
    TaskName,
    TaskSchedulerOptions,
} from "@anvilmux/dispatch";
import { LeasedWorker } from "@anvilmux/stand-ins";
import { Metrics, newSilentLogger } from "@anvilmux/telemetry";

export interface JobOptions {
    readonly tasks?: number;
    readonly runMs?: Milliseconds;
    readonly millicores?: number;
    readonly objectiveMs?: Milliseconds;
    readonly attempts?: number;
    readonly remainingMs?: Milliseconds;
    readonly resubmitted?: boolean;
    readonly mayRunElsewhere?: boolean;
    readonly spilled?: boolean;
}

const workerMillicores = 16_000;
const crashDelayMs = 30;
const crashedMs = 3_000;

export class SchedulerFixture {
    readonly time = new VirtualTime();
    readonly workers: LeasedWorker[] = [];
    readonly answers = new Map<string, JobAnswer>();
    readonly remoteJobs: string[] = [];
    readonly returnedJobs: string[] = [];
    acknowledgesAtOnce = true;
    remoteSchedulers: readonly RemoteScheduler[] = [];
    /** Tasks that ran twice at the same time. */
    readonly doubleRuns: TaskName[] = [];
    readonly startedTasks: TaskName[] = [];
    /** Tasks under which their worker crashes soon after the start. */
    readonly crashingTasks = new Set<string>();
    readonly fencedTokens: number[] = [];
    /** Called when a scheduler learns of a higher claim than its own. */
    handleOutranked: (claim: number) => void = () => undefined;
    private readonly runningCounts = new Map<TaskName, number>();
    private readonly runTimes = new Map<string, Milliseconds>();
    private readonly sizes = new Map<string, number>();

    /** `workerClockMs`: the workers' clocks at the start; with it, a restarted worker's clock begins anew. */
    constructor(workerCount: number, private readonly workerClockMs?: Milliseconds) {
        for (let number = 1; number <= workerCount; number++) {
            this.workers.push(this.newWorker(number));
        }
    }

    /** Connects to a worker directly. */
    readonly connect: ConnectWorker = target =>
        this.workers.find(worker => worker.announcement.id === target.id)!.connect();

    newScheduler(
        fencingToken: number,
        getFencingToken: () => number = () => fencingToken,
        connect: ConnectWorker = this.connect,
        overrides: Partial<
            Pick<
                TaskSchedulerOptions,
                "logger" | "metrics" | "timers" | "getOverloadSettings" | "holdMemory" | "getHandover"
            >
        > = {},
    ): TaskScheduler {
        const scheduler = new TaskScheduler({
            connect,
            choose: chooseBestFit,
            getFencingToken,
            onFenced: token => this.fencedTokens.push(token),
            onOutranked: claim => this.handleOutranked(claim),
            getRemoteSchedulers: () => this.remoteSchedulers,
            clock: this.time,
            timers: this.time,
            logger: newSilentLogger(),
            metrics: new Metrics(),
            ...overrides,
        });
        this.workers.forEach(worker => scheduler.setWorker(worker.announcement));
        return scheduler;
    }

    newJob(id: string, options: JobOptions = {}): JobRequest {
        const runMs = options.runMs ?? 100;
        this.runTimes.set(id, runMs);
        this.sizes.set(id, options.millicores ?? 6_000);
        return {
            id: toJobId(id),
            queue: "checks",
            service: "desk",
            payload: id,
            tasks: Array.from({ length: options.tasks ?? 1 }, (_, index) => ({
                name: toTaskName(`${id}.${index}`),
                millicores: options.millicores ?? 6_000,
                memoryMebibytes: 64,
                accelerators: 0,
                estimateMs: runMs,
            })),
            priority: 0,
            attempts: options.attempts ?? 2,
            objectiveMs: options.objectiveMs ?? 1_000,
            remainingMs: options.remainingMs ?? 5_000,
            resubmitted: options.resubmitted ?? false,
            mayRunElsewhere: options.mayRunElsewhere ?? false,
            spilled: options.spilled ?? false,
        };
    }

    countStarts(task: string): number {
        return this.startedTasks.filter(started => started === task).length;
    }

    isRunning(task: string): boolean {
        return (this.runningCounts.get(toTaskName(task)) ?? 0) > 0;
    }

    submit(scheduler: TaskScheduler, request: JobRequest, submitterKey = "home"): void {
        scheduler.submit(request, this.newSubmitter(request.id, submitterKey));
    }

    /** Submits a job in a message that may be old; the returned function shows that the submitter still waits. */
    submitLate(scheduler: TaskScheduler, request: JobRequest, submitterKey = "home"): () => void {
        let show = () => undefined as void;
        const whenPresent = (listener: () => void) => void (show = listener);
        scheduler.submit(request, { ...this.newSubmitter(request.id, submitterKey), whenPresent });
        return () => show();
    }

    private newSubmitter(id: string, key: string): JobSubmitter {
        return {
            key,
            answer: answer => this.answers.set(id, answer),
            announceRemoteTasks: () => this.remoteJobs.push(id) > 0 && this.acknowledgesAtOnce,
            announceNoRemoteTasks: () => this.returnedJobs.push(id),
        };
    }

    private newWorker(number: number): LeasedWorker {
        const getJob = (task: TaskName) => task.slice(0, task.lastIndexOf("."));
        return new LeasedWorker({
            announcement: {
                id: toWorkerId(`worker-${number}`),
                incarnation: 1,
                sequence: 1,
                service: "desk",
                address: toAddress(`127.0.0.1:${number}`),
                zone: toZoneId("eire-dub"),
                state: "ready",
                room: { millicores: workerMillicores, memoryMebibytes: 32_768, accelerators: 0 },
            },
            clock: this.time,
            timers: this.time,
            ...this.workerClockMs === undefined ? {} : { clockStartedAt: -this.workerClockMs },
            getRunMs: task => this.runTimes.get(getJob(task)) ?? 100,
            getResources: task => ({
                millicores: this.sizes.get(getJob(task)) ?? 6_000,
                memoryMebibytes: 64,
                accelerators: 0,
            }),
            onStart: task => {
                this.recordStart(task);
                if (this.crashingTasks.has(task)) {
                    this.time.after(crashDelayMs, () => this.workers[number - 1]!.crash(crashedMs));
                }
            },
            onCompletion: task => this.runningCounts.set(task, (this.runningCounts.get(task) ?? 1) - 1),
        });
    }

    private recordStart(task: TaskName): void {
        const runningCount = (this.runningCounts.get(task) ?? 0) + 1;
        this.runningCounts.set(task, runningCount);
        this.startedTasks.push(task);
        if (runningCount > 1) {
            this.doubleRuns.push(task);
        }
    }
}
