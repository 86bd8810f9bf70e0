/**
 * Submits a mix of short, medium and long jobs to the owner of a zone's workers, as the other entries of the zone do:
 * at random times, over a connection each, with the jobs submitted again after a lost connection.
 */

import { newRandom, sampleExponential, toJobId } from "@anvilmux/common";
import type { Address, Milliseconds, Random } from "@anvilmux/common";
import { PendingJobs, toTaskName } from "@anvilmux/dispatch";
import type { JobAnswer, JobRequest } from "@anvilmux/dispatch";
import type { FromPeer, ToPeer } from "@anvilmux/fleet";
import { ChannelChecker, Link } from "@anvilmux/links";
import type { LinkEnvironment } from "@anvilmux/links";
import type { StandInPayload } from "@anvilmux/platform";
import { Metrics } from "@anvilmux/telemetry";
import { workerService } from "./dispatchMessages";

interface JobClass {
    /** Share of all jobs. */
    readonly share: number;
    readonly tasks: number;
    readonly estimateMs: Milliseconds;
    /** Time after which the caller no longer waits. */
    readonly timeoutMs: Milliseconds;
}

const jobClasses: readonly JobClass[] = [
    { share: 0.24, tasks: 8, estimateMs: 51, timeoutMs: 1_500 },
    { share: 0.045, tasks: 4, estimateMs: 760, timeoutMs: 3_000 },
    { share: 0.715, tasks: 2, estimateMs: 170, timeoutMs: 3_000 },
];
export const meanTasksPerJob = jobClasses.reduce((sum, { share, tasks }) => sum + share * tasks, 0);
export const taskMillicores = 8_000;
export const taskMebibytes = 256;
/** Run times are spread evenly around the estimate by at most this fraction of it. */
const runTimeSpread = 0.25;
/** A job is wanted within this many times its estimate plus a fixed time. */
const objectiveStretch = 1.6;
const objectiveAddedMs = 60;
/** Entries that submit jobs, each over a connection of its own, and make calls to workers for the owner. */
export const entryCount = 13;
const submissionPeriodMs = 2;

/** What became of one job. `unknown`: no answer arrived in time, or tasks of an abandoned job may have run. */
export interface JobRecord {
    readonly submittedAt: Milliseconds;
    readonly objectiveMs: Milliseconds;
    answer: JobAnswer["kind"] | undefined;
    latencyMs: Milliseconds;
}

/** An entry that submits its callers' jobs to the owner. */
interface SubmittingEntry {
    readonly link: Link<FromPeer, ToPeer>;
    readonly jobs: PendingJobs;
}

const ownerId = "owner";

export class DispatchLoad {
    private readonly entries: readonly SubmittingEntry[];
    private readonly checker: ChannelChecker;
    private readonly random: Random;
    private submitted = 0;
    private disconnectedLinks = 0;

    constructor(private readonly owner: Address, seed: number, private readonly environment: LinkEnvironment) {
        this.random = newRandom(seed);
        this.checker = new ChannelChecker(environment.clock, environment.timers, () => undefined);
        this.entries = Array.from({ length: entryCount }, () => this.newEntry());
    }

    /** How often a connection to the owner was lost. */
    get disconnections(): number {
        return this.disconnectedLinks;
    }

    /** Submits jobs with `taskRate` tasks per second in the mean; resolves after `durationMs`. */
    async run(taskRate: number, durationMs: Milliseconds): Promise<readonly JobRecord[]> {
        const meanGapMs = 1_000 * meanTasksPerJob / taskRate;
        const startedAt = performance.now();
        const records: JobRecord[] = [];
        let nextAt = startedAt;
        while (performance.now() < startedAt + durationMs) {
            while (nextAt <= performance.now()) {
                records.push(this.submit());
                nextAt += sampleExponential(this.random, meanGapMs);
            }
            await pause(submissionPeriodMs);
        }
        return records;
    }

    /** Resolves when all jobs have been answered. */
    async drain(): Promise<void> {
        while (this.entries.some(entry => entry.jobs.openJobs > 0)) {
            await pause(submissionPeriodMs);
        }
    }

    stop(): void {
        this.checker.stop();
        this.entries.forEach(({ link, jobs }) => {
            jobs.stop();
            link.stop();
        });
    }

    private newEntry(): SubmittingEntry {
        const { clock, timers, logger } = this.environment;
        const link: Link<FromPeer, ToPeer> = new Link(this.environment, {
            address: this.owner,
            checker: this.checker,
            onOpen: () => jobs.handleOwnerChange(),
            onMessage: message => {
                if (message.type === "answer") {
                    jobs.handleAnswer(ownerId, message.id, message.answer, message.submission);
                }
            },
            onClose: () => {
                this.disconnectedLinks += 1;
                jobs.handleOwnerDisconnected(ownerId);
            },
        });
        const jobs = new PendingJobs({
            getOwner: () => ({
                id: ownerId,
                submit: (request, submission) => link.send({ type: "submit", request, submission }),
                cancel: id => void link.send({ type: "cancel", id }),
                withdraw: id => void link.send({ type: "withdraw", id }),
            }),
            getHighestClaim: () => 0,
            clock,
            timers,
            logger,
            metrics: new Metrics(),
        });
        return { link, jobs };
    }

    private submit(): JobRecord {
        const request = newJob(this.submitted, this.random);
        const entry = this.entries[this.submitted % this.entries.length]!;
        this.submitted += 1;
        const submittedAt = performance.now();
        const record: JobRecord = { submittedAt, objectiveMs: request.objectiveMs, answer: undefined, latencyMs: 0 };
        entry.jobs.accept(request, answer => {
            record.answer = answer.kind;
            record.latencyMs = performance.now() - submittedAt;
        });
        return record;
    }
}

/** The job with a number, of a random class and with random run times. */
export const newJob = (number: number, random: Random): JobRequest => {
    const { tasks, estimateMs, timeoutMs } = pickClass(random.next());
    const id = toJobId(number.toString(16).padStart(16, "0"));
    const payload: StandInPayload = {
        millicores: taskMillicores,
        runMs: Array.from(
            { length: tasks },
            () => Math.round(estimateMs * (1 + runTimeSpread * (2 * random.next() - 1))),
        ),
    };
    return {
        id,
        queue: "bench",
        service: workerService,
        payload: JSON.stringify(payload),
        tasks: payload.runMs.map((_, index) => ({
            name: toTaskName(`${id}.0.0.${index}`),
            millicores: taskMillicores,
            memoryMebibytes: taskMebibytes,
            accelerators: 0,
            estimateMs,
        })),
        priority: 1,
        attempts: 3,
        objectiveMs: objectiveStretch * estimateMs + objectiveAddedMs,
        remainingMs: timeoutMs,
        resubmitted: false,
        mayRunElsewhere: false,
        spilled: false,
    };
};

const pickClass = (position: number): JobClass => {
    let sum = 0;
    return jobClasses.find(({ share }) => {
        sum += share;
        return position < sum;
    }) ?? jobClasses[jobClasses.length - 1]!;
};

const pause = (milliseconds: Milliseconds): Promise<void> => new Promise(resolve => setTimeout(resolve, milliseconds));
