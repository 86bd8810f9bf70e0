/** How a demand above the capacity is handled, as the configuration of the queues asks for. */

import type { Queue } from "@anvilmux/manifest";

/**
 * `deadline`: jobs are served by their latest start and given up then; `forecast`: a job is refused at arrival unless
 * the forecast says that it starts in time, those of the least important queues first.
 */
export type OverloadPolicy = "deadline" | "forecast";

export interface OverloadSettings {
    readonly policy: OverloadPolicy;
    /** Shares of the capacity that queues are guaranteed, by queue; others have a part of an equal share. */
    readonly minimumShares: ReadonlyMap<string, number>;
}

export const defaultOverloadSettings: OverloadSettings = { policy: "deadline", minimumShares: new Map() };

type RankedQueue = Pick<Queue, "name" | "minimumShare">;

/** Forecasts where the operator has said what a queue is guaranteed; priorities alone order the jobs, as by deadline. */
export const readOverloadSettings = (queues: readonly RankedQueue[]): OverloadSettings => {
    const minimumShares = new Map(
        queues.flatMap(({ name, minimumShare }) => minimumShare === undefined ? [] : [[name, minimumShare] as const]),
    );
    return { policy: minimumShares.size > 0 ? "forecast" : "deadline", minimumShares };
};
