/** Wide jobs that cannot be done are refused at arrival, and no others. */

import { toAddress, toJobId, toZoneId } from "@anvilmux/common";
import { toWorkerId } from "@anvilmux/dispatch";
import type { JobOutline, WorkerAnnouncement } from "@anvilmux/dispatch";
import { JobArrivalCheck } from "../src/roles/JobArrivalCheck";

const zone = toZoneId("z1");

const newWorker = (number: number, change: Partial<WorkerAnnouncement> = {}): WorkerAnnouncement => ({
    id: toWorkerId(`w${number}`),
    incarnation: 1,
    sequence: 1,
    service: "desk",
    address: toAddress("127.0.0.1:1"),
    zone,
    state: "ready",
    room: { millicores: 16_000, memoryMebibytes: 1, accelerators: 0 },
    ...change,
});

const newOutline = (taskCount: number, millicores: number, estimateMs: number, availableMs: number): JobOutline => ({
    id: toJobId("0000000000000001"),
    service: "desk",
    payloadCharacters: 0,
    taskCount,
    work: taskCount * millicores * estimateMs,
    availableMs,
});

const newCheck = (workers: readonly WorkerAnnouncement[], freeBytes = Infinity) =>
    new JobArrivalCheck({
        zone,
        getWorkers: () => workers,
        holdMemory: bytes => bytes <= freeBytes ? () => undefined : undefined,
    });

const fourWorkers = [1, 2, 3, 4].map(number => newWorker(number));

describe("a job that arrives", () => {
    // 10,000 tasks of a second on 64 processors take 156 s.
    test("waits for processors that cannot do it before its deadline", () => {
        const check = newCheck(fourWorkers);
        expect(check.findRefusal(newOutline(10_000, 1_000, 1_000, 150_000))).toContain("deadline");
        expect(check.findRefusal(newOutline(10_000, 1_000, 1_000, 160_000))).toBeUndefined();
    });

    test("is refused although other zones may do it in time", () => {
        const check = newCheck(fourWorkers);
        const member = { id: "e1", incarnation: 1, zone: "z2", address: toAddress("127.0.0.1:1") };
        check.recordOwners([{ member, claim: 1 }]);
        expect(check.findRefusal(newOutline(10_000, 1_000, 1_000, 80_000))).toBeUndefined();
        expect(check.findRefusal(newOutline(10_000, 1_000, 1_000, 70_000))).toContain("deadline");
    });

    test("is refused for its estimates although it has few tasks, or no worker is known", () => {
        expect(newCheck(fourWorkers).findRefusal(newOutline(255, 16_000, 10_000, 1_000))).toBeUndefined();
        expect(newCheck([]).findRefusal(newOutline(10_000, 1_000, 1_000, 10))).toBeUndefined();
        const others = [newWorker(1, { service: "other" }), newWorker(2, { state: "left" })];
        expect(newCheck(others).findRefusal(newOutline(10_000, 1_000, 1_000, 10))).toBeUndefined();
    });

    test("gets its thousands of tasks before it is refused for want of memory", () => {
        expect(newCheck(fourWorkers, 1_000_000).findRefusal(newOutline(10_000, 1, 1, 1_000))).toContain("memory");
        expect(newCheck(fourWorkers, 1_000_000).findRefusal(newOutline(1_000, 1, 1, 1_000))).toBeUndefined();
    });
});
