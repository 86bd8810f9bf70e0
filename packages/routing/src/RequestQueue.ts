/**
 * Queue of the requests that wait for a slot, with one heap per class and team. Within a class, the head with the
 * smallest order key is served next, except that a team above its share of slots yields to teams below theirs.
 */

import type { Milliseconds } from "@anvilmux/common";
import TinyQueue from "tinyqueue";
import type { GetOrderKey, WaitingRequest } from "./types";

/** Long work has separate classes, which prevents head-of-line blocking of the short work queued behind it. */
export type RequestClass = "urgent" | "urgent-long" | "other" | "other-long";

export const urgentClasses: readonly RequestClass[] = ["urgent", "urgent-long"];
export const otherClasses: readonly RequestClass[] = ["other", "other-long"];

export const getRequestClass = (request: WaitingRequest): RequestClass => {
    if (request.urgent) {
        return request.long ? "urgent-long" : "urgent";
    }
    return request.long ? "other-long" : "other";
};

interface QueueItem {
    readonly request: WaitingRequest;
    readonly key: number;
    removed: boolean;
}

interface ClassQueue {
    readonly teams: Map<string, TinyQueue<QueueItem>>;
    /** Total expected run time of waiting requests by work kind. */
    readonly workByKind: Map<string, KindWork>;
    count: number;
}

interface KindWork {
    work: Milliseconds;
    expectedRun: Milliseconds;
}

const newClassQueue = (): ClassQueue => ({ teams: new Map(), workByKind: new Map(), count: 0 });

export class RequestQueue {
    private readonly classes: Readonly<Record<RequestClass, ClassQueue>> = {
        "urgent": newClassQueue(),
        "urgent-long": newClassQueue(),
        "other": newClassQueue(),
        "other-long": newClassQueue(),
    };
    private readonly items = new Map<string, QueueItem>();

    constructor(private readonly getKey: GetOrderKey) {}

    get size(): number {
        return this.items.size;
    }

    getCount(name: RequestClass): number {
        return this.classes[name].count;
    }

    /** Total expected run time of all waiting requests. */
    getWork(): Milliseconds {
        return this.sumWork([...urgentClasses, ...otherClasses], Infinity);
    }

    /** Total expected run time of the waiting requests that take precedence over `request`. */
    getWorkAhead(request: WaitingRequest): Milliseconds {
        return request.urgent
            ? this.sumWork(urgentClasses, request.expectedRun)
            : this.sumWork(urgentClasses, Infinity) + this.sumWork(otherClasses, request.expectedRun);
    }

    add(request: WaitingRequest): void {
        const item: QueueItem = { request, key: this.getKey(request), removed: false };
        const queue = this.classes[getRequestClass(request)];
        let heap = queue.teams.get(request.team);
        if (!heap) {
            heap = new TinyQueue<QueueItem>([], (left, right) => left.key - right.key);
            queue.teams.set(request.team, heap);
        }
        heap.push(item);
        this.countWork(queue, request, 1);
        queue.count += 1;
        this.items.set(request.id, item);
    }

    /** Removes a request at any position; undefined when it is not queued. */
    remove(id: string): WaitingRequest | undefined {
        const item = this.items.get(id);
        if (!item) {
            return undefined;
        }
        const queue = this.classes[getRequestClass(item.request)];
        item.removed = true;
        this.countWork(queue, item.request, -1);
        queue.count -= 1;
        this.items.delete(id);
        return item.request;
    }

    /** Total expected run time of waiting requests of kinds whose expected run time is at most `longestRun`. */
    private sumWork(names: readonly RequestClass[], longestRun: Milliseconds): Milliseconds {
        let work = 0;
        for (const name of names) {
            for (const kind of this.classes[name].workByKind.values()) {
                work += kind.expectedRun <= longestRun ? kind.work : 0;
            }
        }
        return work;
    }

    private countWork(queue: ClassQueue, request: WaitingRequest, sign: 1 | -1): void {
        const known = queue.workByKind.get(request.kind) ?? { work: 0, expectedRun: request.expectedRun };
        known.work = Math.max(0, known.work + sign * request.expectedRun);
        known.expectedRun = request.expectedRun;
        queue.workByKind.set(request.kind, known);
    }

    /**
     * Returns the request to serve next among the given classes. Teams for which `isOverShare` is true yield to others.
     * A class is skipped when `mayHaveSlot` rejects the request at its head.
     */
    peek(
        names: readonly RequestClass[],
        isOverShare: (team: string) => boolean,
        mayHaveSlot: (request: WaitingRequest) => boolean = () => true,
    ): WaitingRequest | undefined {
        const heads = names.flatMap(name => this.getClassHead(name, isOverShare) ?? []);
        const eligible = heads.filter(head => mayHaveSlot(head.request));
        return eligible.reduce<QueueItem | undefined>(
            (best, head) => !best || head.key < best.key ? head : best,
            undefined,
        )
            ?.request;
    }

    private getClassHead(name: RequestClass, isOverShare: (team: string) => boolean): QueueItem | undefined {
        let best: QueueItem | undefined;
        let bestYields = true;
        const queue = this.classes[name];
        for (const [team, heap] of queue.teams) {
            const head = getHead(heap);
            if (!head) {
                queue.teams.delete(team);
                continue;
            }
            const yields = queue.teams.size > 1 && isOverShare(team);
            if (!best || (bestYields && !yields) || (bestYields === yields && head.key < best.key)) {
                best = head;
                bestYields = yields;
            }
        }
        return best;
    }

    /** All waiting requests, in no particular order. */
    getAll(): readonly WaitingRequest[] {
        return [...this.items.values()].map(item => item.request);
    }
}

const getHead = (heap: TinyQueue<QueueItem>): QueueItem | undefined => {
    for (let head = heap.peek(); head; head = heap.peek()) {
        if (!head.removed) {
            return head;
        }
        heap.pop();
    }
    return undefined;
};
