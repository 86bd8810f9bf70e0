/** Runs tasks one at a time, in the order of the calls. */

export class Mutex {
    private tail: Promise<unknown> = Promise.resolve();

    run<T>(task: () => Promise<T>): Promise<T> {
        const result = this.tail.then(task);
        this.tail = result.catch(() => undefined);
        return result;
    }
}
