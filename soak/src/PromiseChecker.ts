/**
 * Checks what callers, workers and the operator are promised, from what they see:
 * - run once: no task runs on two workers at the same time;
 * - truthful refusals: no task starts of a job whose submissions were all refused;
 * - truthful completions: a job is answered as completed only once all its tasks have ended as done;
 * - nothing left over: nothing runs once callers have been gone for a while;
 * - configuration: what was acknowledged is neither lost nor read back as an older version;
 * - drains: no worker of a drained zone starts a task once the drain is in force, until a restore is sent;
 * - service: once faults are over, at least a quarter of the jobs is done;
 * - processes: none ends by itself.
 */

import type { Milliseconds } from "@anvilmux/common";
import type { SubmissionOutcome } from "@anvilmux/platform";
import { DrainChecker } from "./DrainChecker";
import { programs } from "./layout";
import type { Violation } from "./types";

interface PresentRun {
    readonly worker: string;
    readonly startedAt: Milliseconds;
}

interface SeenJob {
    readonly tasks: readonly string[];
    readonly outcomes: SubmissionOutcome[];
}

/** Time after an acknowledgement from which no read may answer with an older version. */
export const configurationLagMs: Milliseconds = 2_000;
const leastServedShare = 0.25;

export class PromiseChecker {
    readonly violations: Violation[] = [];
    readonly drains: DrainChecker;
    private readonly running = new Map<string, PresentRun[]>();
    private readonly started = new Set<string>();
    private readonly done = new Set<string>();
    private readonly jobs = new Map<string, SeenJob>();
    private acknowledged: { readonly version: number; readonly atMs: Milliseconds; }[] = [];

    /** `now`: time since the play began. */
    constructor(readonly now: () => Milliseconds) {
        this.drains = new DrainChecker(programs, now);
    }

    get jobCount(): number {
        return this.jobs.size;
    }

    get startedCount(): number {
        return this.started.size;
    }

    countOutcomes(): Readonly<Record<string, number>> {
        const counts: Record<string, number> = {};
        for (const outcome of [...this.jobs.values()].flatMap(({ outcomes }) => outcomes)) {
            counts[outcome] = (counts[outcome] ?? 0) + 1;
        }
        return counts;
    }

    report(promise: string, detail: string): void {
        this.violations.push({ promise, detail, atMs: Math.round(this.now()) });
    }

    /** `zone`: that of the worker. */
    handleStart(task: string, worker: string, zone: string): void {
        const lateMs = this.drains.findLateStart(zone);
        if (lateMs !== undefined) {
            this.report("drains", `${task} starts on ${worker} ${Math.round(lateMs)} ms after the drain of ${zone}`);
        }
        const present = this.running.get(task) ?? [];
        this.started.add(task);
        this.running.set(task, [...present, { worker, startedAt: this.now() }]);
        present.forEach(other => {
            const laterMs = Math.round(this.now() - other.startedAt);
            this.report(
                "run once",
                `${task} starts on ${worker} while it runs on ${other.worker}, ${laterMs} ms later`,
            );
        });
    }

    handleEnd(task: string, worker: string, isDone: boolean): void {
        const others = (this.running.get(task) ?? []).filter(run => run.worker !== worker);
        if (others.length > 0) {
            this.running.set(task, others);
        }
        else {
            this.running.delete(task);
        }
        if (isDone) {
            this.done.add(task);
        }
    }

    handleSubmission(job: string, tasks: readonly string[]): void {
        if (!this.jobs.has(job)) {
            this.jobs.set(job, { tasks, outcomes: [] });
        }
    }

    handleAnswer(job: string, outcome: SubmissionOutcome): void {
        const { tasks, outcomes } = this.jobs.get(job)!;
        outcomes.push(outcome);
        const missing = tasks.filter(task => !this.done.has(task));
        if (outcome === "completed" && missing.length > 0) {
            this.report(
                "truthful completions",
                `${job} is answered as completed without an end of ${missing.join(" ")}`,
            );
        }
    }

    handleAcknowledgement(version: number): void {
        this.acknowledged.push({ version, atMs: this.now() });
    }

    /** The newest version that was acknowledged for long enough at that time; 0 without one. */
    private getNewestVersion(atMs: Milliseconds): number {
        const old = this.acknowledged.filter(item => item.atMs + configurationLagMs < atMs);
        return Math.max(0, ...old.map(({ version }) => version));
    }

    /** A read that was sent at `sentAt` and answered with `version`. */
    handleRead(version: number, sentAt: Milliseconds, from: string): void {
        const newest = this.getNewestVersion(sentAt);
        if (version < newest) {
            this.report("configuration", `${from} reads back version ${version}, but ${newest} was acknowledged`);
        }
    }

    /** Jobs that were submitted after all faults, and how many of them were done. */
    checkService(submitted: number, completed: number): void {
        if (completed < leastServedShare * submitted) {
            this.report("service", `${completed} of ${submitted} jobs are done after all faults`);
        }
    }

    /** To be called once callers have been gone for long enough. */
    checkAtEnd(): void {
        for (const task of this.running.keys()) {
            this.report("nothing left over", `${task} still runs on ${this.running.get(task)![0]!.worker}`);
        }
        for (const [job, { tasks, outcomes }] of this.jobs) {
            const isRefused = outcomes.length > 0 && outcomes.every(outcome => outcome === "refused");
            const startedTasks = tasks.filter(task => this.started.has(task));
            if (isRefused && startedTasks.length > 0) {
                this.report("truthful refusals", `${job} was refused each time, but ${startedTasks.join(" ")} started`);
            }
        }
    }
}
