/** Simulated faults of owners, connections and callers: a refused job never runs, and no task runs twice at once. */

import { DispatchSimulation } from "./simulation/DispatchSimulation";

const newSeeds = (first: number, count: number) => Array.from({ length: count }, (_, index) => first + index);
/** Messages, and processes that stall, take up to seconds. */
const overload = { slowShare: 0.3, longestLatencyMs: 2_500, longestStallMs: 2_500, resubmitDelayMs: 0 };
/** Messages take milliseconds; callers return once the owner has stopped the runs of a lost submitter. */
const promptMessages = { slowShare: 0, longestLatencyMs: 5, longestStallMs: 1, resubmitDelayMs: 600 };

describe("answers under simulated faults", () => {
    test.each(newSeeds(1, 40))("no task of a refused job is started, under overload (seed %i)", async seed => {
        const simulation = new DispatchSimulation({ seed, ...overload });
        await simulation.run();
        expect(simulation.records.findFalseRefusals()).toEqual([]);
    });

    test.each([...newSeeds(20, 60), 218, 256])(
        "no task runs twice at once, with prompt messages (seed %i)",
        async seed => {
            const simulation = new DispatchSimulation({ seed, ...promptMessages });
            await simulation.run();
            expect(simulation.records.findFalseRefusals()).toEqual([]);
            expect(simulation.records.doubleRuns).toEqual([]);
        },
    );
});
