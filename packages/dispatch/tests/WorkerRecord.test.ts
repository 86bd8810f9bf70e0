/** The record of a worker: pauses after failures and stalled runs, and the cost of slowness. */

import { VirtualTime } from "@anvilmux/common";
import { WorkerRecord } from "../src/WorkerRecord";

describe("record of a worker", () => {
    test("three failures in a row begin a pause, and a success in between resets the count", () => {
        const record = new WorkerRecord(new VirtualTime());
        expect([record.recordFailure(), record.recordFailure()]).toEqual([0, 0]);
        record.recordSuccess(1);
        expect([record.recordFailure(), record.recordFailure(), record.recordFailure()]).toEqual([0, 0, 1_500]);
    });

    test("runs that stall at the same time begin one pause, and the next pause is twice as long", async () => {
        const time = new VirtualTime();
        const record = new WorkerRecord(time);
        expect([record.recordStall(), record.recordStall(), record.recordFailure()]).toEqual([1_500, 0, 0]);
        await time.advance(1_600);
        expect(record.recordStall()).toBe(3_000);
        await time.advance(3_100);
        record.recordSuccess(1);
        expect(record.recordStall()).toBe(1_500);
    });

    test("a slow worker costs more than a normal one, for a limited time", async () => {
        const time = new VirtualTime();
        const record = new WorkerRecord(time);
        record.recordSuccess(1);
        expect(record.getPenalty()).toBe(0);
        for (let run = 0; run < 6; run++) {
            record.recordSuccess(8);
        }
        expect(record.getPenalty()).toBeGreaterThan(0);
        await time.advance(13_000);
        expect(record.getPenalty()).toBe(0);
    });
});
