/**
 * Simulated faults of workers, relays, owners and callers: no task runs on two workers at the same time, and no task of a
 * refused job is started.
 */

import { faultProfiles } from "./simulation/faultProfiles";
import { WorkerSimulation } from "./simulation/WorkerSimulation";

interface Guard {
    readonly profile: string;
    /** What must not happen. */
    readonly failure: string;
    readonly seeds: readonly number[];
}

const guards: readonly Guard[] = [
    { profile: "late orders", failure: "a start that is refused as late is taken for a run", seeds: [1, 2, 3] },
    {
        profile: "late orders counted from arrival",
        failure: "a start that was given up is carried out",
        seeds: [2, 7, 8, 42, 7023],
    },
    { profile: "restarted behind a cut", failure: "a start reaches the next incarnation", seeds: [1, 14, 73, 74] },
    { profile: "silent cuts", failure: "a run is given up before its lease ends", seeds: [1, 2] },
    { profile: "one-way cuts", failure: "a start without an answer is taken for none", seeds: [1, 2] },
    { profile: "refused cuts", failure: "a refused connection is taken for an ended worker", seeds: [1, 2] },
    { profile: "relay faults", failure: "a call that a late relay makes is forgotten", seeds: [1, 2] },
    { profile: "owner changes with resubmission", failure: "a new owner misses a run", seeds: [1, 36] },
    { profile: "owners that release and claim again", failure: "an owner forgets its runs", seeds: [17, 18, 31] },
    { profile: "two owners at a time", failure: "an owner misses a run of the other", seeds: [86, 118, 150] },
    { profile: "resubmission without other faults", failure: "a job sent again runs twice", seeds: [1, 2] },
    { profile: "late orders and cuts", failure: "a run is given up before its lease ends", seeds: [1, 2] },
    { profile: "late orders and relay faults", failure: "a late call is forgotten", seeds: [1, 2] },
    {
        profile: "late orders and owner changes",
        failure: "a new owner misses a run or its lease",
        seeds: [4, 9, 111],
    },
    {
        profile: "late orders and restarted workers",
        failure: "a start reaches the next incarnation",
        seeds: [22, 24, 38],
    },
    { profile: "cuts and owner changes", failure: "a new owner misses a run", seeds: [12, 13, 16] },
    { profile: "cuts and relay faults", failure: "a call that a late relay makes is forgotten", seeds: [1, 2] },
    { profile: "cuts and reclaiming owners", failure: "an owner forgets its runs", seeds: [17, 18] },
    { profile: "restarted workers and owner changes", failure: "a new owner misses a run", seeds: [21, 27] },
    {
        profile: "late orders and two owners at a time",
        failure: "an owner misses a run or lease of the other",
        seeds: [151, 163, 170, 217, 230],
    },
    { profile: "cuts and two owners at a time", failure: "an owner misses a run of the other", seeds: [204, 286] },
    {
        profile: "late orders counted from arrival and cuts",
        failure: "a start that was given up is carried out",
        seeds: [153, 195, 237],
    },
    {
        profile: "unlisted workers and owner changes",
        failure: "a new owner misses a run on a worker that it does not know",
        seeds: [3, 5, 50],
    },
    {
        profile: "unannounced workers and owner changes",
        failure: "a new owner misses a run on a worker that stays unknown to it",
        seeds: [1, 5, 11, 72],
    },
];

const cases = guards.flatMap(({ profile, failure, seeds }) => seeds.map(seed => ({ profile, failure, seed })));

describe("a zone under simulated faults of workers", () => {
    test.each(cases)(
        "no task runs on two workers because $failure ($profile, seed $seed)",
        async ({ profile: name, seed }) => {
            const profile = faultProfiles.find(one => one.name === name)!;
            const simulation = new WorkerSimulation({ seed, profile });
            await simulation.run();
            expect(simulation.records.countRuns()).toBeGreaterThan(0);
            expect(simulation.runs.onTwoWorkers).toEqual([]);
            expect(simulation.records.findFalseRefusals()).toEqual([]);
        },
    );

    test("every profile has seeds", () => {
        expect(faultProfiles.map(({ name }) => name).filter(name => !guards.some(one => one.profile === name)))
            .toEqual([]);
    });
});
