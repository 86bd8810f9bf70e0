/** The runs that are, or may be, alive on one worker, and the room they take. */

import type { Milliseconds } from "@anvilmux/common";
import { RunProgress } from "./RunProgress";
import { addRoom, subtractRoom } from "./types";
import type { Room, RunEnd, TaskName, TaskRequest, WorkerList } from "./types";

/** How a run ended, as its owner knows it. `lost`: its lease is over or its worker began a new life. */
export type RunOutcome = RunEnd | "lost" | "never-started" | "refused-old" | "refused" | "invalid";

export interface Run {
    readonly task: TaskName;
    readonly run: number;
    /** Undefined for a run that an earlier owner started. */
    request: TaskRequest | undefined;
    readonly orderedAt: Milliseconds;
    /** On our clock: when the worker was last heard to run it. */
    confirmedAt: Milliseconds;
    /** On the worker's clock: when a start without an answer can no longer be carried out. */
    readonly startDeadline: Milliseconds;
    state: "ordered" | "running" | "uncertain";
    stopOrderedAt: Milliseconds | undefined;
    readonly progress: RunProgress;
}

type NewRun = Pick<Run, "task" | "run" | "request" | "orderedAt" | "startDeadline">;

export const newRun = (given: NewRun): Run => ({
    ...given,
    confirmedAt: 0,
    state: "ordered",
    stopOrderedAt: undefined,
    progress: new RunProgress(),
});

export class RunTable {
    private readonly runs = new Map<TaskName, Run>();
    private usedRoom: Room = { millicores: 0, memoryMebibytes: 0, accelerators: 0 };

    get size(): number {
        return this.runs.size;
    }

    /** Room taken by all runs of known size. */
    get used(): Room {
        return this.usedRoom;
    }

    get(task: TaskName): Run | undefined {
        return this.runs.get(task);
    }

    getAll(): readonly Run[] {
        return [...this.runs.values()];
    }

    /** True while runs of unknown size, started by an earlier owner, go on. */
    hasUnknownRuns(): boolean {
        return this.getAll().some(run => !run.request);
    }

    add(run: Run): void {
        this.runs.set(run.task, run);
        if (run.request) {
            this.usedRoom = addRoom(this.usedRoom, run.request);
        }
    }

    /** Tells what a run that an earlier owner started is, and counts its room. */
    setRequest(run: Run, request: TaskRequest): void {
        if (!run.request) {
            run.request = request;
            this.usedRoom = addRoom(this.usedRoom, request);
        }
    }

    remove(run: Run): void {
        this.runs.delete(run.task);
        if (run.request) {
            this.usedRoom = subtractRoom(this.usedRoom, run.request);
        }
    }

    /**
     * Runs that a whole list shows to be neither running nor able to begin any more. Only what was known when the list
     * was asked for counts, as orders and lists overtake each other: `sentAt` is on our clock, `sentClock` the worker's.
     */
    findMissing(list: WorkerList, sentAt: Milliseconds, sentClock: Milliseconds): readonly Run[] {
        const listed = new Map(list.running.map(item => [item.task, item.run]));
        return this.getAll().filter(run => {
            if (listed.get(run.task) === run.run) {
                return false;
            }
            return run.state === "running"
                ? sentAt > run.confirmedAt
                : run.state === "uncertain" && sentClock > run.startDeadline;
        });
    }
}
