/** The runs that are, or may be, in progress on one worker, and the resources they use. */

import type { Milliseconds } from "@anvilmux/common";
import { RunProgress } from "./RunProgress";
import { addResources, subtractResources } from "./types";
import type { Resources, RunList, RunResult, TaskName, TaskRequest } from "./types";

/**
 * How a run ended, as far as its owner knows. `lost`: its lease expired, or it is missing from its worker's list;
 * `crashed`: its worker's process ended without having announced that.
 */
export type RunOutcome = RunResult | "lost" | "crashed" | "never-started" | "refused-old" | "refused" | "invalid";

/**
 * How the owner learned of a run's end. `listed`: the worker listed it as ended; `missing-from-list`: a complete list
 * does not contain it; `replaced`: a list, or a later order, has a later run of its task; `new-incarnation`: the worker
 * listed its runs in another incarnation; `lease-expired`: the worker did not answer for as long as runs were possible;
 * `process-down`: the same, and connections to it are refused; `refused`: the worker refused the start;
 * `connection-refused`: the connection for the start was refused; `worker-gone`: another worker answers at the address.
 */
export type RunEndCause =
    | "listed"
    | "missing-from-list"
    | "replaced"
    | "new-incarnation"
    | "lease-expired"
    | "process-down"
    | "refused"
    | "connection-refused"
    | "worker-gone";

/** The end of a run. Decisions depend on the outcome only; the rest is for logs and metrics. */
export interface RunEnd {
    readonly outcome: RunOutcome;
    readonly cause: RunEndCause;
    /** The relay through which the call that ended it was made; undefined for other ends and for direct calls. */
    readonly relay?: string | undefined;
}

const inferredCauses: ReadonlySet<RunEndCause> = new Set<RunEndCause>([
    "missing-from-list",
    "new-incarnation",
    "lease-expired",
    "process-down",
]);

/** True for an end that the worker neither listed nor answered, so that a start without an answer may be carried out yet. */
export const isInferred = ({ cause }: RunEnd): boolean => inferredCauses.has(cause);

export interface Run {
    readonly task: TaskName;
    readonly run: number;
    /** Undefined for a run that an earlier owner started. */
    request: TaskRequest | undefined;
    readonly orderedAt: Milliseconds;
    /** On the owner's clock: when the worker last confirmed that it runs. */
    confirmedAt: Milliseconds;
    /** Incarnation that listed it as running; undefined while only an answer to its start, which names none, did. */
    listedIn: number | undefined;
    /** On the clock of `incarnation`: time after which an unanswered start can no longer be carried out. */
    readonly startDeadline: Milliseconds;
    /** The worker's incarnation, as known when the run was ordered; a later one may receive the start, too. */
    readonly incarnation: number;
    state: "ordered" | "running" | "uncertain";
    stopOrderedAt: Milliseconds | undefined;
    /** On the owner's clock: when the present incarnation had accepted a stop; the run cannot start there any more. */
    stopAcceptedAt: Milliseconds | undefined;
    readonly progress: RunProgress;
}

type NewRun = Pick<Run, "task" | "run" | "request" | "orderedAt" | "startDeadline" | "incarnation">;

export const newRun = ({ task, run, request, orderedAt, startDeadline, incarnation }: NewRun): Run => ({
    task,
    run,
    request,
    orderedAt,
    startDeadline,
    incarnation,
    confirmedAt: 0,
    listedIn: undefined,
    state: "ordered",
    stopOrderedAt: undefined,
    stopAcceptedAt: undefined,
    progress: new RunProgress(),
});

export class RunTable {
    private readonly runs = new Map<TaskName, Run>();
    private usedResources: Resources = { millicores: 0, memoryMebibytes: 0, accelerators: 0 };
    private unknownRuns = 0;

    /** `onUsedChange` is called when the used resources changed. */
    constructor(private readonly onUsedChange: () => void) {}

    get size(): number {
        return this.runs.size;
    }

    /** Resources used by all runs whose request is known. */
    get used(): Resources {
        return this.usedResources;
    }

    get(task: TaskName): Run | undefined {
        return this.runs.get(task);
    }

    getAll(): readonly Run[] {
        return [...this.runs.values()];
    }

    /** True while there are runs, started by an earlier owner, whose resources are unknown. */
    hasUnknownRuns(): boolean {
        return this.unknownRuns > 0;
    }

    /** Adds a run; it replaces an earlier one of its task, which is returned. */
    add(run: Run): Run | undefined {
        const replaced = this.runs.get(run.task);
        if (replaced) {
            this.remove(replaced);
        }
        this.runs.set(run.task, run);
        if (run.request) {
            this.setUsed(addResources(this.usedResources, run.request));
        }
        else {
            this.unknownRuns += 1;
        }
        return replaced;
    }

    /** Sets the request of a run that an earlier owner started, and counts its resources. */
    setRequest(run: Run, request: TaskRequest): void {
        if (!run.request) {
            run.request = request;
            this.unknownRuns -= 1;
            this.setUsed(addResources(this.usedResources, request));
        }
    }

    /** Removes a run unless it was removed or replaced before. */
    remove(run: Run): void {
        if (this.runs.get(run.task) !== run) {
            return;
        }
        this.runs.delete(run.task);
        if (run.request) {
            this.setUsed(subtractResources(this.usedResources, run.request));
        }
        else {
            this.unknownRuns -= 1;
        }
    }

    /**
     * Runs that, according to a complete list, neither run nor can still start. Only what was known when the list was
     * requested counts, since orders and lists can overtake each other: `sentAt` is that time on the owner's clock,
     * `sentClock` on the worker's.
     */
    findMissing(list: RunList, sentAt: Milliseconds, sentClock: Milliseconds): readonly Run[] {
        const listed = new Set(list.running.map(getRunKey));
        return this.getAll().filter(run => {
            if (listed.has(getRunKey(run))) {
                return false;
            }
            if (run.stopAcceptedAt !== undefined && sentAt >= run.stopAcceptedAt) {
                return true;
            }
            return run.state === "running"
                ? sentAt > run.confirmedAt || (run.listedIn !== undefined && run.listedIn !== list.incarnation)
                : run.state === "uncertain" && run.incarnation === list.incarnation && sentClock > run.startDeadline;
        });
    }

    /** Runs whose start another incarnation than the given one may have received, or may receive yet. */
    getUncertainOfOtherIncarnations(incarnation: number): readonly Run[] {
        return this.getAll().filter(run => run.state === "uncertain" && run.incarnation !== incarnation);
    }

    private setUsed(used: Resources): void {
        this.usedResources = used;
        this.onUsedChange();
    }
}

/** A worker may list two runs of a task that were started by different owners. */
const getRunKey = ({ task, run }: Pick<Run, "task" | "run">): string => `${task} ${run}`;
