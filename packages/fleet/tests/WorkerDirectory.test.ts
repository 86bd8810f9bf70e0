/** The newest announcement of each worker takes precedence over those that arrive late. */

import { toAddress, toZoneId, VirtualTime } from "@anvilmux/common";
import { toWorkerId } from "@anvilmux/dispatch";
import type { WorkerAnnouncement } from "@anvilmux/dispatch";
import { WorkerDirectory } from "@anvilmux/fleet";
import fc from "fast-check";

const newAnnouncement = (change: Partial<WorkerAnnouncement> = {}): WorkerAnnouncement => ({
    id: toWorkerId("w1"),
    incarnation: 10,
    sequence: 1,
    service: "s",
    address: toAddress("127.0.0.1:1"),
    zone: toZoneId("z"),
    state: "ready",
    room: { millicores: 1, memoryMebibytes: 1, accelerators: 0 },
    ...change,
});

describe("worker directory", () => {
    test("a repeated announcement is not reported as a change, another state is", () => {
        const directory = new WorkerDirectory();
        expect(directory.record(newAnnouncement())).toBe(true);
        expect(directory.record(newAnnouncement({ sequence: 2 }))).toBe(false);
        expect(directory.record(newAnnouncement({ sequence: 3, state: "draining" }))).toBe(true);
    });

    test("a late announcement is ignored", () => {
        const directory = new WorkerDirectory();
        directory.record(newAnnouncement({ sequence: 3, state: "draining" }));
        expect(directory.record(newAnnouncement({ sequence: 2 }))).toBe(false);
        expect(directory.getAll()[0]?.state).toBe("draining");
    });

    test("a worker that left is added again by a new incarnation, not by a late announcement", () => {
        const directory = new WorkerDirectory();
        directory.record(newAnnouncement({ sequence: 5 }));
        expect(directory.markLeft(toWorkerId("w1"))?.state).toBe("left");
        expect(directory.markLeft(toWorkerId("w1"))).toBeUndefined();
        expect(directory.record(newAnnouncement({ sequence: 4 }))).toBe(false);
        expect(directory.record(newAnnouncement({ incarnation: 11, sequence: 1 }))).toBe(true);
        expect(directory.getAll()[0]?.state).toBe("ready");
    });

    test("a worker that left is not added again by its last announcement, repeated", () => {
        const directory = new WorkerDirectory();
        directory.record(newAnnouncement({ sequence: 5 }));
        directory.markLeft(toWorkerId("w1"));
        expect(directory.record(newAnnouncement({ sequence: 5 }))).toBe(false);
        expect(directory.getAll()[0]?.state).toBe("left");
    });

    test("that a worker left is learned from another instance", () => {
        const directory = new WorkerDirectory();
        directory.record(newAnnouncement({ sequence: 5 }));
        expect(directory.record(newAnnouncement({ sequence: 5, state: "left" }))).toBe(true);
        expect(directory.getAll()[0]?.state).toBe("left");
    });

    test("the newest announcement is kept, whatever the order of arrival", () => {
        const announcement = fc.record({
            incarnation: fc.integer({ min: 1, max: 3 }),
            sequence: fc.integer({ min: 1, max: 5 }),
        });
        fc.assert(
            fc.property(fc.array(announcement, { minLength: 1 }), changes => {
                const directory = new WorkerDirectory();
                changes.forEach(change => directory.record(newAnnouncement(change)));
                const newest = changes.reduce((best, change) =>
                    change.incarnation > best.incarnation
                        || (change.incarnation === best.incarnation && change.sequence > best.sequence)
                        ? change
                        : best
                );
                expect(directory.getAll()[0]).toMatchObject(newest);
            }),
            { seed: 7 },
        );
    });
});

describe("places for workers", () => {
    const silenceMs = 30_000;
    const newFixture = (hearsAll: boolean) => {
        const time = new VirtualTime();
        const forgotten: string[] = [];
        const directory = new WorkerDirectory(time, {
            limits: { total: 5, perZone: 3 },
            hearsAll,
            onForgotten: ({ id }) => forgotten.push(id),
        });
        const record = (id: string, zone = "z", sequence = 1) =>
            directory.record(newAnnouncement({ id: toWorkerId(id), zone: toZoneId(zone), sequence }));
        return { time, forgotten, directory, record };
    };

    // Control took any number of workers, and every entry of the zone connected to each.
    test("are given to ever new workers of a zone, or taken from those that are heard of", async () => {
        const { time, forgotten, directory, record } = newFixture(true);
        ["a", "b", "c"].forEach(id => record(id));
        await time.advance(silenceMs - 1);
        record("a", "z", 2);
        expect(record("d")).toBe(false);
        expect(directory.has(toWorkerId("d"))).toBe(false);
        expect(record("e", "other zone")).toBe(true);
        await time.advance(2);
        expect(record("d")).toBe(true);
        expect(forgotten).toEqual(["b"]);
        expect(directory.has(toWorkerId("a"))).toBe(true);
    });

    test("are given to workers of ever new zones", () => {
        const { directory, record } = newFixture(true);
        ["a", "b", "c", "d", "e", "f"].forEach(id => record(id, `zone of ${id}`));
        expect(directory.getAll()).toHaveLength(5);
    });

    test("are kept by workers that left", () => {
        const { forgotten, directory, record } = newFixture(false);
        ["a", "b", "c"].forEach(id => record(id));
        directory.markLeft(toWorkerId("b"));
        expect(record("d")).toBe(true);
        expect(forgotten).toEqual(["b"]);
    });

    // An entry is told of changes only, and not of every announcement.
    test("are lost to silence where announcements do not arrive", async () => {
        const { time, record } = newFixture(false);
        ["a", "b", "c"].forEach(id => record(id));
        await time.advance(2 * silenceMs);
        expect(record("d")).toBe(false);
    });

    test("stay taken by a worker that moved to another zone", () => {
        const { record } = newFixture(true);
        ["a", "b", "c"].forEach(id => record(id));
        record("a", "other zone", 2);
        expect(record("d")).toBe(true);
        expect(record("e")).toBe(false);
    });
});
