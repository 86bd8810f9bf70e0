/** The queue of jobs with waiting tasks stays in the order of urgency, whatever is added and removed. */

import { toJobId } from "@anvilmux/common";
import { toTaskName } from "@anvilmux/dispatch";
import type { JobRequest, JobSubmitter } from "@anvilmux/dispatch";
import fc from "fast-check";
import { JobTable } from "../src/JobTable";
import { newScheduledJob } from "../src/ScheduledJob";
import type { ScheduledJob } from "../src/ScheduledJob";

const seed = 20_261_204;

const submitter: JobSubmitter = {
    key: "home",
    answer: () => undefined,
    announceRemoteTasks: () => true,
    announceNoRemoteTasks: () => undefined,
};

const newJob = (id: string, receivedAt = 0, change: Partial<JobRequest> = {}): ScheduledJob =>
    newScheduledJob(
        {
            id: toJobId(id),
            queue: "checks",
            service: "desk",
            payload: id,
            tasks: [{
                name: toTaskName(`${id}.0`),
                millicores: 1_000,
                memoryMebibytes: 64,
                accelerators: 0,
                estimateMs: 100,
            }],
            priority: 0,
            attempts: 2,
            objectiveMs: 1_000,
            remainingMs: 5_000,
            resubmitted: false,
            mayRunElsewhere: false,
            spilled: false,
            ...change,
        },
        submitter,
        receivedAt,
    );

const getIds = (jobs: Iterable<ScheduledJob>): string[] => [...jobs].map(job => job.request.id);

/** The same queue as a plain list, sorted stably at each insertion. */
class ListQueue {
    jobs: ScheduledJob[] = [];

    enqueue(job: ScheduledJob): void {
        if (!this.jobs.includes(job)) {
            this.jobs = [...this.jobs, job].sort((one, other) =>
                one.startBy - other.startBy || one.request.priority - other.request.priority
            );
        }
    }

    remove(job: ScheduledJob): void {
        this.jobs = this.jobs.filter(other => other !== job);
    }
}

const step = fc.record({
    kind: fc.constantFrom("add", "add", "remove", "place", "requeue"),
    choice: fc.nat(),
    receivedAt: fc.integer({ min: 0, max: 4 }),
    priority: fc.integer({ min: 0, max: 2 }),
    spilled: fc.boolean(),
});

describe("queue of jobs", () => {
    test("its order and its members are those of a list that is sorted at each insertion", () => {
        fc.assert(
            fc.property(fc.array(step, { minLength: 10, maxLength: 80 }), steps => {
                const table = new JobTable();
                const list = new ListQueue();
                const jobs: ScheduledJob[] = [];
                for (const { kind, choice, receivedAt, priority, spilled } of steps) {
                    const job = jobs[choice % Math.max(1, jobs.length)];
                    if (kind === "add") {
                        const added = newJob(`job-${jobs.length}`, receivedAt, { priority, spilled });
                        jobs.push(added);
                        table.add(added);
                        list.enqueue(added);
                    }
                    else if (job && table.get(job.request.id) && kind === "requeue") {
                        job.waiting = 1;
                        table.enqueue(job);
                        list.enqueue(job);
                    }
                    else if (job && kind === "place") {
                        job.waiting = 0;
                        table.prune(job);
                        list.remove(job);
                    }
                    else if (job && kind === "remove") {
                        table.remove(job);
                        list.remove(job);
                    }
                    expect(getIds(table.getWaiting())).toEqual(getIds(list.jobs));
                    expect(table.waitingCount).toBe(list.jobs.length);
                    expect(getIds(table.getWaitingFromOtherZones()).sort())
                        .toEqual(getIds(list.jobs.filter(waiting => waiting.request.spilled)).sort());
                }
            }),
            { seed, numRuns: 200 },
        );
    });

    test("a job with waiting tasks is not pruned", () => {
        const table = new JobTable();
        const job = newJob("job-1");
        table.add(job);
        table.prune(job);
        expect(table.waitingCount).toBe(1);
    });

    test("a pass that removes the visited job still visits the others", () => {
        const table = new JobTable();
        const jobs = [1, 2, 3, 4].map(number => newJob(`job-${number}`, number));
        jobs.forEach(job => table.add(job));
        const visited: string[] = [];
        for (const job of table.getWaiting()) {
            visited.push(job.request.id);
            if (job !== jobs[1]) {
                table.remove(job);
            }
        }
        expect(visited).toEqual(["job-1", "job-2", "job-3", "job-4"]);
        expect([...table.getWaiting()]).toEqual([jobs[1]]);
    });
});
