/** Election of the owner of a zone's workers over the zone's connections, at several sizes and under seeded faults. */

import type { PlantedFault } from "./simulation/SimulatedZoneEntry";
import { ZoneSimulation } from "./simulation/ZoneSimulation";

const sizes = [3, 8, 20, 80] as const;
/** Time in which a zone without faults agrees on an owner. */
const agreementLimitMs = 6_000;
/** Time within which the loss of an owner has to be repaired. */
const takeoverLimitMs = 1_000;
/** The same where every entry was paused at the time: first each has to try to connect to the others, twice. */
const resumptionLimitMs = 2_000;
const ordinaryConnections = 3;

const startZone = async (seed: number, size: number, plantedFault?: PlantedFault): Promise<ZoneSimulation> => {
    const simulation = new ZoneSimulation({ seed, size, ...(plantedFault && { plantedFault }) });
    await simulation.time.advance(2_000);
    return simulation;
};

describe.each(sizes)("a zone of %i entries", size => {
    test("agrees on one owner, which is connected to all others", async () => {
        const simulation = await startZone(size, size);
        expect(simulation.claimants).toEqual([simulation.commonOwner]);
        expect(simulation.unconnectedToOwner).toEqual([]);
        expect(simulation.claims).toHaveLength(1);
    });

    test("has a new owner soon after the owner was killed, lost power, froze or was cut off", async () => {
        const simulation = await startZone(size, size);
        const faults: readonly ((machine: ReturnType<ZoneSimulation["getMachine"]>) => void)[] = [
            machine => simulation.kill(machine),
            machine => simulation.cutPower(machine),
            machine => void (machine.isFrozen = true),
            machine => void (machine.isCut = true),
        ];
        for (const fault of faults) {
            const owner = simulation.getMachine(simulation.commonOwner!);
            fault(owner);
            expect(await simulation.awaitOwner(owner.id, takeoverLimitMs)).toBeLessThanOrEqual(takeoverLimitMs);
            owner.isFrozen = false;
            owner.isCut = false;
            simulation.restartLater(owner);
            await simulation.time.advance(4_000);
            expect(simulation.claimants).toEqual([simulation.commonOwner]);
        }
    });

    test("keeps few connections at an entry that neither owns the workers nor comes first", async () => {
        const simulation = await startZone(size, size);
        await simulation.time.advance(15_000);
        expect(simulation.countConnections(simulation.running.at(-1)!.id)).toBeLessThanOrEqual(ordinaryConnections);
    });

    test("elects while control is down", async () => {
        const simulation = await startZone(size, size);
        const owner = simulation.getMachine(simulation.commonOwner!);
        simulation.stopControl();
        simulation.kill(owner);
        expect(await simulation.awaitOwner(owner.id, takeoverLimitMs)).toBeLessThanOrEqual(takeoverLimitMs);
    });
});

// An entry that wakes reads the ends of its connections first, and hears of the owner only when it is connected again.
describe("an entry that runs again after a pause claims the workers beside their owner", () => {
    const pauseMs = 4_000;

    const expectOneOwner = async (simulation: ZoneSimulation, pausedIndex: number): Promise<void> => {
        const owner = simulation.commonOwner!;
        const claims = simulation.claims.length;
        const paused = simulation.running.filter(({ id }) => id !== owner)[pausedIndex]!;
        paused.isFrozen = true;
        await simulation.time.advance(pauseMs);
        paused.isFrozen = false;
        await simulation.time.advance(pauseMs);
        expect([simulation.commonOwner, simulation.claims.length]).toEqual([owner, claims]);
    };

    test.each([0, 1, 2, 6])("entry %i of those that come after the owner", async index => {
        await expectOneOwner(await startZone(5, 8), index);
    });

    test.each([0, 1, 2])("entry %i of those that come before the owner", async index => {
        const simulation = await startZone(5, 8);
        const first = ["entry-00", "entry-01", "entry-02"].map(id => simulation.getMachine(id));
        first.forEach(machine => simulation.kill(machine));
        await simulation.time.advance(2_000);
        first.forEach(machine => simulation.restartLater(machine));
        await simulation.time.advance(6_000);
        expect(simulation.commonOwner).toBe("entry-03");
        await expectOneOwner(simulation, index);
    });

    test("while control is down", async () => {
        const simulation = await startZone(5, 8);
        simulation.stopControl();
        await expectOneOwner(simulation, 0);
    });
});

test("a zone of which every entry was paused has an owner again soon, though its owner was lost meanwhile", async () => {
    const simulation = await startZone(5, 8);
    const paused = simulation.running;
    paused.forEach(machine => machine.isFrozen = true);
    await simulation.time.advance(4_000);
    simulation.kill(simulation.getMachine("entry-00"));
    paused.forEach(machine => machine.isFrozen = false);
    expect(await simulation.awaitOwner("entry-00", resumptionLimitMs)).toBeLessThanOrEqual(resumptionLimitMs);
});

test("after a long quiet time, and a change in the zone, an entry still knows those that it is not connected to", async () => {
    const simulation = await startZone(1, 8);
    await simulation.time.advance(65_000);
    const last = simulation.getMachine("entry-07");
    simulation.kill(last);
    simulation.restartLater(last);
    await simulation.time.advance(15_000);
    const owner = simulation.commonOwner!;
    simulation.stopControl();
    ["entry-00", "entry-01", "entry-02"].forEach(id => simulation.kill(simulation.getMachine(id)));
    expect(await simulation.awaitOwner(owner, takeoverLimitMs)).toBeLessThanOrEqual(takeoverLimitMs);
    await simulation.time.advance(1_000);
    expect(simulation.unconnectedToOwner).toEqual([]);
    expect(simulation.claims).toHaveLength(2);
});

describe("under faults", () => {
    const cases = sizes.flatMap(size => [1, 2, 3].map(seed => ({ size, seed })));

    test.each(cases)("$size entries, seed $seed: one owner afterwards, and no claim twice", async ({ size, seed }) => {
        const simulation = await startZone(seed, size);
        for (let fault = 0; fault < 12; fault++) {
            simulation.injectFault();
            await simulation.time.advance(300);
        }
        await simulation.time.advance(agreementLimitMs);
        expect(simulation.running).toHaveLength(size);
        expect(simulation.commonOwner).toBeDefined();
        expect(simulation.claimants).toEqual([simulation.commonOwner]);
        expect(simulation.unconnectedToOwner).toEqual([]);
        expect(new Set(simulation.claims).size).toBe(simulation.claims.length);
    });
});

describe("the simulation finds", () => {
    test("an entry that claims before it knows of those before it", async () => {
        const simulation = await startZone(1, 8, "claims-while-awaiting");
        ["entry-00", "entry-01", "entry-02"].forEach(id => simulation.kill(simulation.getMachine(id)));
        await simulation.time.advance(2_000);
        expect(simulation.claims.length).toBeGreaterThan(2);
    });

    test("an owner whose silence is noticed late", async () => {
        const simulation = await startZone(1, 8, "no-heartbeats");
        const owner = simulation.getMachine(simulation.commonOwner!);
        owner.isFrozen = true;
        expect(await simulation.awaitOwner(owner.id, takeoverLimitMs)).toBeUndefined();
    });

    test("an owner that does not connect to the entries before it", async () => {
        const simulation = await startZone(1, 8, "owner-connects-to-nobody");
        for (const id of ["entry-00", "entry-01", "entry-02", "entry-03"]) {
            simulation.kill(simulation.getMachine(id));
        }
        await simulation.time.advance(2_000);
        ["entry-00", "entry-01", "entry-02", "entry-03"].forEach(id =>
            simulation.restartLater(simulation.getMachine(id))
        );
        await simulation.time.advance(agreementLimitMs + 15_000);
        expect(simulation.unconnectedToOwner).not.toEqual([]);
    });
});
