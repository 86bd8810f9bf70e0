/** The estimate of a worker's clock from answers of which some are read late. */

import { VirtualTime } from "@anvilmux/common";
import { WorkerTime } from "../src/WorkerTime";

const workerStart = 50_000;

const newWorkerTime = async () => {
    const time = new VirtualTime();
    const workerTime = new WorkerTime(time);
    const getWorkerClock = () => workerStart + time.now();
    workerTime.recordClock(getWorkerClock(), 1);
    await time.advance(300);
    return { time, workerTime, getWorkerClock };
};

describe("estimate of a worker's clock", () => {
    test("an answer that was read late does not make the next starts late", async () => {
        const { workerTime, getWorkerClock } = await newWorkerTime();
        workerTime.recordClock(getWorkerClock() - 150, 1);
        expect(getWorkerClock() - workerTime.now()).toBeLessThan(10);
    });

    test("is never ahead of a clock that runs 2 % slow", async () => {
        const { time, workerTime } = await newWorkerTime();
        for (let step = 0; step < 200; step++) {
            await time.advance(37);
            const workerClock = workerStart + time.now() * 0.98;
            workerTime.recordClock(workerClock - step % 7 * 20, 1);
            expect(workerTime.now()).toBeLessThanOrEqual(workerClock + 1e-6);
        }
    });

    test("follows a worker that restarted at once", async () => {
        const { workerTime } = await newWorkerTime();
        workerTime.recordClock(12, 1);
        expect(workerTime.now()).toBe(12);
    });

    test("follows a worker that was suspended after a second", async () => {
        const { time, workerTime, getWorkerClock } = await newWorkerTime();
        for (let step = 0; step < 12; step++) {
            workerTime.recordClock(getWorkerClock() - 700, 1);
            await time.advance(100);
        }
        expect(workerTime.now()).toBeLessThanOrEqual(getWorkerClock() - 700 + 1);
    });
});
