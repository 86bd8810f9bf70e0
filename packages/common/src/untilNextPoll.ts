/**
 * Resolves once the event loop has looked for input again, so that what had arrived on an open connection by now, its end
 * included, has been read: a connection that has data and its end to read is read once in each turn.
 */
export const untilNextPoll = (): Promise<void> =>
    new Promise(resolve => {
        // The first callback runs in this turn, the second one after the next turn's input.
        setImmediate(() => setImmediate(resolve));
    });
