/** Finds the queue of a job by the host and path of its request. */

import type { Milliseconds } from "@anvilmux/common";
import type { Queue } from "@anvilmux/manifest";

export class QueueTable {
    private readonly byHost = new Map<string, Queue[]>();

    constructor(queues: readonly Queue[]) {
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
