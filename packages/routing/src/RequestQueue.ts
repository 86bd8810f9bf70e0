/**
 * Requests that wait for a slot: one heap for each class and team. A class serves the team whose head comes
 * first, except that a team above its share of slots yields to teams below theirs.
 */

import type { Milliseconds } from "@anvilmux/common";
import TinyQueue from "tinyqueue";
import type { GetOrderKey, WaitingRequest } from "./types";

export type RequestClass = "urgent" | "other";

export const getRequestClass = (request: WaitingRequest): RequestClass => request.urgent ? "urgent" : "other";

interface Item {
    readonly request: WaitingRequest;
    readonly key: number;
    removed: boolean;
}

interface ClassQueue {
    readonly teams: Map<string, TinyQueue<Item>>;
    work: Milliseconds;
    count: number;
}

const newClassQueue = (): ClassQueue => ({ teams: new Map(), work: 0, count: 0 });

export class RequestQueue {
    private readonly classes: Readonly<Record<RequestClass, ClassQueue>> = {
        urgent: newClassQueue(),
        other: newClassQueue(),
    };
    private readonly items = new Map<string, Item>();

    constructor(private readonly getKey: GetOrderKey) {}

    get size(): number {
        return this.items.size;
    }

    getCount(name: RequestClass): number {
        return this.classes[name].count;
    }

    /** Expected run time of the class's waiting requests. */
    getWork(name: RequestClass): Milliseconds {
        return this.classes[name].work;
    }

    add(request: WaitingRequest): void {
        const item: Item = { request, key: this.getKey(request), removed: false };
        const queue = this.classes[getRequestClass(request)];
        let heap = queue.teams.get(request.team);
        if (!heap) {
            heap = new TinyQueue<Item>([], (left, right) => left.key - right.key);
            queue.teams.set(request.team, heap);
        }
        heap.push(item);
        queue.work += request.expectedRun;
        queue.count += 1;
        this.items.set(request.id, item);
    }

    /** Removes a request wherever it stands; undefined when it does not wait. */
    remove(id: string): WaitingRequest | undefined {
        const item = this.items.get(id);
        if (!item) {
            return undefined;
        }
        const queue = this.classes[getRequestClass(item.request)];
        item.removed = true;
        queue.work = Math.max(0, queue.work - item.request.expectedRun);
        queue.count -= 1;
        this.items.delete(id);
        return item.request;
    }

    /** The request to serve next in a class. `isOverShare` tells which teams yield to others. */
    peek(name: RequestClass, isOverShare: (team: string) => boolean): WaitingRequest | undefined {
        let best: Item | undefined;
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
        return best?.request;
    }

    /** Every waiting request, in no particular order. */
    getAll(): readonly WaitingRequest[] {
        return [...this.items.values()].map(item => item.request);
    }
}

const getHead = (heap: TinyQueue<Item>): Item | undefined => {
    for (let head = heap.peek(); head; head = heap.peek()) {
        if (!head.removed) {
            return head;
        }
        heap.pop();
    }
    return undefined;
};
