/** Election of the owner of a zone's workers over the zone's connections, at several sizes and under seeded faults. */

import type { PlantedFault } from "./simulation/SimulatedZoneEntry";
import { ZoneSimulation } from "./simulation/ZoneSimulation";

const sizes = [3, 8, 20, 80] as const;
/** Time in which a zone without faults agrees on an owner. */
const agreementLimitMs = 6_000;
/** Time within which the loss of an owner has to be repaired. */
const takeoverLimitMs = 1_000;
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
