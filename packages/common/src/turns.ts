/**
 * Work that is put off within the event loop: to the end of a turn, so that all of a turn's input shares it, or until the
 * loop has looked for input once more.
 */

let listeners: (() => void)[] = [];
let scheduled: NodeJS.Immediate | undefined;
let nextPoll: Promise<void> | undefined;

/** Calls `listener` once this turn of the event loop has read its input. */
export const atTurnEnd = (listener: () => void): void => {
    scheduled ??= setImmediate(endTurn);
    listeners.push(listener);
};

/**
 * Resolves once the event loop has looked for input again, so that what had arrived on an open connection by now, its end
 * included, has been read: a connection that has data and its end to read is read once in each turn. All that wait in one
 * turn share one look. What the waiting code puts off to the end of the turn runs in the turn in which it goes on.
 */
export const untilNextPoll = (): Promise<void> =>
    nextPoll ??= new Promise(resolve => {
        // The first callback runs in this turn, the second one after the next turn's input.
        setImmediate(() => {
            nextPoll = undefined;
            setImmediate(() => {
                resolve();
                // A tick that is asked for in a microtask runs once all of the waiting code has gone on.
                queueMicrotask(() => process.nextTick(endTurn));
            });
        });
    });

/** A listener that throws ends the process, as in a callback of its own, after the others have been called. */
const endTurn = (): void => {
    clearImmediate(scheduled);
    scheduled = undefined;
    const due = listeners;
    listeners = [];
    for (const listener of due) {
        try {
            listener();
        }
        catch (error) {
            queueMicrotask(() => {
                throw error;
            });
        }
    }
};
