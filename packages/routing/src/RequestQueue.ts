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
    /** Expected run time of waiting requests by work kind. */
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

    /** Expected run time of all waiting requests. */
    getWork(): Milliseconds {
        return [...this.classes.urgent.workByKind.values(), ...this.classes.other.workByKind.values()]
            .reduce((sum, kind) => sum + kind.work, 0);
    }

    /** Expected run time of the waiting requests that go before `request`. */
    getWorkAhead(request: WaitingRequest): Milliseconds {
        const name = getRequestClass(request);
        let work = 0;
        for (const kind of this.classes[name].workByKind.values()) {
            work += kind.expectedRun <= request.expectedRun ? kind.work : 0;
        }
        if (name === "other") {
            this.classes.urgent.workByKind.forEach(kind => work += kind.work);
        }
        return work;
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
        this.countWork(queue, request, 1);
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
        this.countWork(queue, item.request, -1);
        queue.count -= 1;
        this.items.delete(id);
        return item.request;
    }

    private countWork(queue: ClassQueue, request: WaitingRequest, sign: 1 | -1): void {
        const known = queue.workByKind.get(request.kind) ?? { work: 0, expectedRun: request.expectedRun };
        known.work = Math.max(0, known.work + sign * request.expectedRun);
        known.expectedRun = request.expectedRun;
        queue.workByKind.set(request.kind, known);
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
