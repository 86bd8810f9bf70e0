/** Finds the queue of a job by the host and path of its request. */

import type { Milliseconds } from "@anvilmux/common";
import type { Queue } from "@anvilmux/manifest";
import { readOverloadSettings } from "./overloadPolicy";
import type { OverloadSettings } from "./overloadPolicy";

export class QueueTable {
    private readonly byHost = new Map<string, Queue[]>();

    /** How a demand above the capacity is handled, as the queues ask for. */
    readonly overloadSettings: OverloadSettings;

    constructor(queues: readonly Queue[]) {
        this.overloadSettings = readOverloadSettings(queues);
        for (const queue of queues) {
            const ofHost = this.byHost.get(queue.host) ?? [];
            ofHost.push(queue);
            this.byHost.set(queue.host, ofHost);
        }
        // Longest prefix first, so that `find` returns the most specific match.
        this.byHost.forEach(ofHost => ofHost.sort((left, right) => right.pathPrefix.length - left.pathPrefix.length));
    }

    find(host: string, path: string): Queue | undefined {
        return this.byHost.get(host)?.find(queue => path.startsWith(queue.pathPrefix));
    }
}

/** The time within which a job of a queue should be answered, from the estimate of its longest task. */
export const getObjective = (queue: Queue, longestEstimate: Milliseconds): Milliseconds =>
    queue.stretch * longestEstimate + queue.targetLatencyMs;
