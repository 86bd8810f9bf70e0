/**
 * The workers of each service in ascending order of their free processors, so that a placement looks only at workers
 * that may be chosen. Workers with equally many are in the order in which they were added.
 */

import type { WorkerSession } from "./WorkerSession";

/** A worker at the position in the order that its service and free processors had at the last update. */
interface IndexedWorker {
    readonly session: WorkerSession;
    readonly sequence: number;
    readonly service: string;
    readonly freeMillicores: number;
}

type Position = Pick<IndexedWorker, "freeMillicores" | "sequence">;

export class WorkerIndex {
    private readonly entries = new Map<WorkerSession, IndexedWorker>();
    private readonly byService = new Map<string, IndexedWorker[]>();
    private nextSequence = 0;

    add(session: WorkerSession): void {
        this.insert(session, this.nextSequence++);
    }

    remove(session: WorkerSession): void {
        const entry = this.entries.get(session);
        if (entry) {
            this.entries.delete(session);
            this.extract(entry);
        }
    }

    clear(): void {
        this.entries.clear();
        this.byService.clear();
    }

    /** Moves a worker to its place after its service or its free capacity may have changed. */
    update(session: WorkerSession): void {
        const entry = this.entries.get(session);
        if (!entry || isCurrent(entry)) {
            return;
        }
        this.extract(entry);
        this.insert(session, entry.sequence);
    }

    /** The workers of a service with at least `millicores` free processors, those with the fewest first. */
    *findWithFree(service: string, millicores: number): Iterable<WorkerSession> {
        const workers = this.byService.get(service) ?? [];
        const first = findIndex(workers, { freeMillicores: millicores, sequence: 0 });
        for (let index = first; index < workers.length; index++) {
            yield workers[index]!.session;
        }
    }

    /** The services with workers now or earlier. */
    get services(): Iterable<string> {
        return this.byService.keys();
    }

    /** The workers of a service, those with the most free processors first. */
    *getAll(service: string): Iterable<WorkerSession> {
        const workers = this.byService.get(service) ?? [];
        for (let index = workers.length - 1; index >= 0; index--) {
            yield workers[index]!.session;
        }
    }

    private insert(session: WorkerSession, sequence: number): void {
        const { service } = session.announcement;
        const entry = { session, sequence, service, freeMillicores: session.free.millicores };
        this.entries.set(session, entry);
        const workers = this.byService.get(service);
        if (workers) {
            workers.splice(findIndex(workers, entry), 0, entry);
        }
        else {
            this.byService.set(service, [entry]);
        }
    }

    private extract(entry: IndexedWorker): void {
        const workers = this.byService.get(entry.service) ?? [];
        workers.splice(findIndex(workers, entry), 1);
    }
}

const isCurrent = ({ session, service, freeMillicores }: IndexedWorker): boolean =>
    session.announcement.service === service && session.free.millicores === freeMillicores;

const compare = (one: Position, other: Position): number =>
    one.freeMillicores - other.freeMillicores || one.sequence - other.sequence;

/** Index of the first worker at or after the position. */
const findIndex = (workers: readonly IndexedWorker[], position: Position): number => {
    let low = 0;
    let high = workers.length;
    while (low < high) {
        const middle = (low + high) >>> 1;
        if (compare(workers[middle]!, position) < 0) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low;
};
