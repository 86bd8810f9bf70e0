/** Log lines on calls to a worker, and what its owner knows of a run there. Times in lines are relative to the present. */

import type { Milliseconds } from "@anvilmux/common";
import type { LogFields, Logger } from "@anvilmux/telemetry";
import type { Run } from "./RunTable";
import type { RefusedStart, Unanswered, WorkerId } from "./types";
import type { WorkerTime } from "./WorkerTime";

export interface RunEvidenceSource {
    readonly now: Milliseconds;
    readonly time: WorkerTime;
    /** Incarnation of the worker in its latest list; 0 before the first. */
    readonly listedIncarnation: number;
    readonly announcedIncarnation: number;
}

export const describeRun = (run: Run, source: RunEvidenceSource): LogFields => {
    const { now, time, listedIncarnation, announcedIncarnation } = source;
    return {
        state: run.state,
        incarnation: listedIncarnation,
        announcedIncarnation: announcedIncarnation === listedIncarnation ? undefined : announcedIncarnation,
        orderedMs: Math.round(now - run.orderedAt),
        confirmedMs: run.confirmedAt > 0 ? Math.round(now - run.confirmedAt) : undefined,
        startableForMs: run.startDeadline > 0 ? Math.round(run.startDeadline - time.now()) : undefined,
        possibleForMs: Math.round(time.runsPossibleUntil - now),
        clockAgeMs: round(time.sampleAgeMs),
        clockIncarnation: time.sampleIncarnation,
        clockAheadMs: round(time.aheadMs),
    };
};

export const logUnansweredStart = (logger: Logger, worker: WorkerId, run: Run, answer: Unanswered): void =>
    logger.warn("start without an answer", {
        worker,
        task: run.task,
        run: run.run,
        reason: answer.reason,
        relay: answer.relay,
    });

export const logRefusedStart = (
    logger: Logger,
    worker: WorkerId,
    run: Run,
    { reason, relay }: RefusedStart,
    freeMillicores: number,
): void =>
    logger.info("start refused by the worker", {
        worker,
        task: run.task,
        run: run.run,
        reason,
        relay,
        freeMillicores,
    });

/** `possibleFor`: time for which runs remain possible on the worker. */
export const logUnansweredWatch = (
    logger: Logger,
    worker: WorkerId,
    { reason, relay }: Unanswered,
    runs: number,
    possibleFor: Milliseconds,
): void =>
    logger.warn("worker does not answer", { worker, reason, relay, runs, possibleForMs: Math.round(possibleFor) });

export const logReachable = (logger: Logger, worker: WorkerId, runs: number, time: WorkerTime): void =>
    logger.info("worker reachable", { worker, runs, clockAheadMs: round(time.aheadMs) });

const round = (length: Milliseconds | undefined): Milliseconds | undefined =>
    length === undefined ? undefined : Math.round(length);
