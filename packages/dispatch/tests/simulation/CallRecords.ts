/** What callers saw of each job and which of its tasks were started: the basis of the checks of a simulation. */

import type { JobAnswer, TaskName } from "@anvilmux/dispatch";

export interface CallAttempt {
    answer: JobAnswer | undefined;
}

interface JobRecord {
    readonly attempts: CallAttempt[];
    startedRuns: number;
}

export class CallRecords {
    /** Tasks that ran twice at the same time. */
    readonly doubleRuns: TaskName[] = [];
    private readonly jobs = new Map<string, JobRecord>();
    private readonly running = new Map<TaskName, number>();

    /** Adds an attempt of a caller to submit the job. */
    addAttempt(job: string): CallAttempt {
        const attempt: CallAttempt = { answer: undefined };
        this.getJob(job).attempts.push(attempt);
        return attempt;
    }

    recordStart(task: TaskName): void {
        const count = (this.running.get(task) ?? 0) + 1;
        this.running.set(task, count);
        this.getJob(getJobOf(task)).startedRuns += 1;
        if (count > 1) {
            this.doubleRuns.push(task);
        }
    }

    recordEnd(task: TaskName): void {
        this.running.set(task, (this.running.get(task) ?? 1) - 1);
    }

    /** Jobs of which tasks were started although every attempt to submit them was answered `refused`. */
    findFalseRefusals(): readonly string[] {
        return [...this.jobs]
            .filter(([, job]) => job.startedRuns > 0 && job.attempts.every(({ answer }) => answer?.kind === "refused"))
            .map(([id]) => id);
    }

    /** Number of runs that were started. */
    countRuns(): number {
        return [...this.jobs.values()].reduce((sum, job) => sum + job.startedRuns, 0);
    }

    /** Number of attempts by their answers. */
    countAnswers(): Readonly<Record<string, number>> {
        const counts: Record<string, number> = {};
        for (const { answer } of [...this.jobs.values()].flatMap(job => job.attempts)) {
            const kind = answer?.kind ?? "none";
            counts[kind] = (counts[kind] ?? 0) + 1;
        }
        return counts;
    }

    private getJob(id: string): JobRecord {
        const present = this.jobs.get(id) ?? { attempts: [], startedRuns: 0 };
        this.jobs.set(id, present);
        return present;
    }
}

export const getJobOf = (task: TaskName): string => task.slice(0, task.lastIndexOf("."));
