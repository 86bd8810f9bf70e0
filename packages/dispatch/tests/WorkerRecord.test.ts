/** What an owner learns of a worker: pauses after failures and standstills, and the cost of slowness. */

import { VirtualTime } from "@anvilmux/common";
import { WorkerRecord } from "../src/WorkerRecord";

describe("record of a worker", () => {
    test("three failures in a row begin a pause, a success in between does not", () => {
        const record = new WorkerRecord(new VirtualTime());
        expect([record.noteFailed(), record.noteFailed()]).toEqual([0, 0]);
        record.noteDone(1);
        expect([record.noteFailed(), record.noteFailed(), record.noteFailed()]).toEqual([0, 0, 1_500]);
    });

    test("runs that stood still at the same time begin one pause, the next one is twice as long", async () => {
        const time = new VirtualTime();
        const record = new WorkerRecord(time);
        expect([record.noteStandstill(), record.noteStandstill(), record.noteFailed()]).toEqual([1_500, 0, 0]);
        await time.advance(1_600);
        expect(record.noteStandstill()).toBe(3_000);
        await time.advance(3_100);
        record.noteDone(1);
        expect(record.noteStandstill()).toBe(1_500);
    });

    test("a slow worker costs more than an ordinary one, for a while", async () => {
        const time = new VirtualTime();
        const record = new WorkerRecord(time);
        record.noteDone(1);
        expect(record.getPenalty()).toBe(0);
        for (let run = 0; run < 6; run++) {
            record.noteDone(8);
        }
        expect(record.getPenalty()).toBeGreaterThan(0);
        await time.advance(13_000);
        expect(record.getPenalty()).toBe(0);
    });
});
