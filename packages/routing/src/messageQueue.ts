/** An unbounded queue that is read as an async iterable, for the sending side of a stream. */

import { newDeferred } from "@anvilmux/common";
import type { Deferred } from "@anvilmux/common";

export interface MessageQueue<T> extends AsyncIterable<T> {
    readonly push: (message: T) => void;
    readonly end: () => void;
}

export const newMessageQueue = <T>(): MessageQueue<T> => {
    const messages: T[] = [];
    let ended = false;
    let waiter: Deferred<void> | undefined;
    const wake = () => {
        waiter?.resolve();
        waiter = undefined;
    };
    return {
        push: message => {
            messages.push(message);
            wake();
        },
        end: () => {
            ended = true;
            wake();
        },
        async *[Symbol.asyncIterator]() {
            for (;;) {
                while (messages.length > 0) {
                    yield messages.shift()!;
                }
                if (ended) {
                    return;
                }
                waiter = newDeferred<void>();
                await waiter.promise;
            }
        },
    };
};
