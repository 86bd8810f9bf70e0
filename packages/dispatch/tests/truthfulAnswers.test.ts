/** Simulated faults of owners, connections and callers: no task of a refused job is ever started. */

import { DispatchSimulation } from "./simulation/DispatchSimulation";

const seeds = Array.from({ length: 40 }, (_, index) => index + 1);
/** Messages, and processes that stall, take up to seconds. */
const overload = { slowShare: 0.3, longestLatencyMs: 2_500, longestStallMs: 2_500, resubmitDelayMs: 0 };

describe("answers under simulated faults", () => {
    test.each(seeds)("no task of a job that every attempt was refused is ever started (seed %i)", async seed => {
        const simulation = new DispatchSimulation({ seed, ...overload });
        await simulation.run();
        expect(simulation.records.findFalseRefusals()).toEqual([]);
    });
});
