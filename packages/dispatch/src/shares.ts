/**
 * Who is refused when the capacity does not suffice. Important queues go first: what they are expected to ask for is
 * kept for them. Each queue has a guaranteed minimum share of the capacity, which others may use only while it asks for
 * less. It answers a demand of 1.2 to 2 times the capacity, at which priorities alone would starve the last queue.
 */

import type { ExpectedDemand } from "./CapacityForecast";
import type { QueueRate } from "./DemandRates";

/** Part of an equal share that every queue is guaranteed unless the operator sets another minimum. */
const guaranteedPartOfEqualShare = 0.5;
/** Demand above this share of the capacity is not served by waiting. */
const scarcityShare = 1;
/** Queues that ask for less than this share of the capacity are not counted for equal shares. */
const negligibleShare = 0.01;

/** Demand and capacity of one service. */
export interface ServiceShares {
    /** What each queue asks for. */
    readonly demand: readonly QueueRate[];
    /** What each queue was admitted to. */
    readonly admitted: readonly QueueRate[];
    /** Processors of the service's workers, in millicores. */
    readonly capacity: number;
    /** Minimum shares that the operator has set, by queue. */
    readonly minimumShares: ReadonlyMap<string, number>;
}

/** The same with the queue that a decision is about. */
export interface SharesInput extends ServiceShares {
    readonly queue: string;
    readonly priority: number;
}

/** True while a queue has been admitted to less than its guaranteed share. */
export const isBelowMinimum = (queue: string, input: ServiceShares): boolean => {
    const admitted = input.admitted.find(other => other.queue === queue);
    return getOccupied(admitted) < getMinimum(queue, input);
};

/** Demand that is expected to arrive and goes before a job of this queue. */
export const getPrecedingDemand = (input: SharesInput): readonly ExpectedDemand[] => {
    if (isBelowMinimum(input.queue, input)) {
        return [];
    }
    return input.demand.flatMap(other => {
        if (other.queue === input.queue || other.priority === input.priority) {
            return [];
        }
        if (other.priority < input.priority) {
            return [other];
        }
        const guaranteed = getMinimum(other.queue, input) / Math.max(1, other.runMs);
        return isBelowMinimum(other.queue, input)
            ? [{ ...other, millicoresPerMs: Math.min(other.millicoresPerMs, guaranteed) }]
            : [];
    });
};

/** True while the queues together ask for more than the capacity. */
export const isScarce = ({ demand, capacity }: Pick<ServiceShares, "demand" | "capacity">): boolean =>
    demand.reduce((sum, other) => sum + getOccupied(other), 0) > scarcityShare * capacity;

/**
 * True for the most important of the queues with demand, and for a queue below its guaranteed share. Under scarcity, the
 * jobs of other queues are admitted only when some of their tasks fit at once: if they waited, they would take the place
 * of more important jobs that arrive later.
 */
export const mayWaitForCapacity = (input: SharesInput): boolean => {
    const isMostImportant = input.demand.every(other => other.priority >= input.priority);
    return isMostImportant || isBelowMinimum(input.queue, input);
};

/** Processors that a queue holds at this rate, in millicores. */
const getOccupied = (rate: QueueRate | undefined): number => rate ? rate.millicoresPerMs * rate.runMs : 0;

const getMinimum = (
    queue: string,
    { demand, capacity, minimumShares }: Pick<ServiceShares, "demand" | "capacity" | "minimumShares">,
): number => {
    const asking = demand.filter(other => getOccupied(other) >= negligibleShare * capacity).length;
    const share = minimumShares.get(queue) ?? guaranteedPartOfEqualShare / Math.max(1, asking);
    return share * capacity;
};
