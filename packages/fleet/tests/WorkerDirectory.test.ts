/** The newest announcement of each worker takes precedence over those that arrive late. */

import { toAddress, toZoneId } from "@anvilmux/common";
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
