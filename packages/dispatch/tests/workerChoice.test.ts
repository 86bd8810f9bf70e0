/** What an owner finds in its index of workers equals a scan of all of them, whatever happened to them before. */

import { toAddress, toJobId, toZoneId, VirtualTime } from "@anvilmux/common";
import type { Milliseconds } from "@anvilmux/common";
import { chooseBestFit, toTaskName, toWorkerId } from "@anvilmux/dispatch";
import type {
    FreeCapacity,
    JobRequest,
    Resources,
    TaskName,
    TaskRequest,
    WorkerAnnouncement,
    WorkerChoiceInput,
    WorkerId,
    WorkerSession,
} from "@anvilmux/dispatch";
import { LeasedWorker } from "@anvilmux/stand-ins";
import { Metrics, newSilentLogger } from "@anvilmux/telemetry";
import fc from "fast-check";
import { OwnedWorkers } from "../src/OwnedWorkers";

const services = ["desk", "press"];
const avoidedCostMillicores = 1_000_000;
/** Time in which a new worker lists its runs. */
const settlingMs = 10;
/** Seeds of 50 sequences each, so that no test runs for long. */
const seeds = [20_261_204, 20_261_205, 20_261_206, 20_261_207];
const sequencesPerSeed = 50;

/** An event, and the demand for which a worker is chosen after it. */
interface Step extends Resources {
    readonly kind: "announce" | "start" | "success" | "stall" | "reach" | "advance";
    readonly worker: number;
    readonly service: string;
    readonly state: "ready" | "draining" | "left";
    /** Run time of a successful run relative to its estimate. */
    readonly ratio: number;
    readonly runMs: Milliseconds;
}

/** Best fit by a look at every worker in the order in which they were added. */
const chooseByFullScan = (
    sessions: readonly WorkerSession[],
    service: string,
    { needed, avoided, getPenalty }: WorkerChoiceInput,
): WorkerSession | undefined => {
    let best: WorkerSession | undefined;
    let bestCost = Infinity;
    for (const session of sessions) {
        if (session.announcement.service === service && session.isUsable && session.hasCapacity(needed)) {
            const unused = session.free.millicores - needed.millicores;
            const cost = unused + getPenalty(session) + (avoided.includes(session) ? avoidedCostMillicores : 0);
            if (cost < bestCost) {
                best = session;
                bestCost = cost;
            }
        }
    }
    return best;
};

type Choice = readonly [chosen: WorkerSession | undefined, expected: WorkerSession | undefined];

interface Description {
    readonly free: FreeCapacity;
    readonly capacity: ReturnType<OwnedWorkers["describeCapacity"]>;
    readonly isTooLarge: boolean;
}

const newRequest = (service: string, demand: Resources): JobRequest => ({
    id: toJobId("job-1"),
    queue: "checks",
    service,
    payload: "",
    tasks: [{ name: toTaskName("job-1.0"), estimateMs: 10, ...demand }],
    priority: 0,
    attempts: 2,
    objectiveMs: 1_000,
    remainingMs: 5_000,
    resubmitted: false,
    mayRunElsewhere: false,
    spilled: false,
});

class ChoiceHarness {
    private readonly time = new VirtualTime();
    /** The sessions in the order in which they were added. */
    private readonly sessions: WorkerSession[] = [];
    private readonly workers = new Map<WorkerId, LeasedWorker>();
    private readonly requests = new Map<TaskName, TaskRequest>();
    /** Every room that a worker announced in the life of its session. */
    private readonly announcedRooms = new Map<WorkerSession, Resources[]>();
    private sequence = 1;
    private strategy = chooseBestFit;
    private readonly owned = new OwnedWorkers({
        connect: announcement => this.workers.get(announcement.id)!.connect(),
        choose: input => this.strategy(input),
        isAwaited: () => true,
        getFencingToken: () => 1,
        onFenced: () => undefined,
        clock: this.time,
        timers: this.time,
        logger: newSilentLogger(),
        metrics: new Metrics(),
        onEnd: () => undefined,
        onFound: () => undefined,
        onStandstill: () => undefined,
        onCrash: () => undefined,
        onChange: () => undefined,
    });

    async run(step: Step): Promise<void> {
        const session = this.sessions[step.worker % Math.max(1, this.sessions.length)];
        const worker = session && this.workers.get(session.id);
        if (step.kind === "announce") {
            await this.announce(step);
        }
        else if (step.kind === "start") {
            this.start(step);
        }
        else if (step.kind === "advance") {
            await this.time.advance(step.runMs);
        }
        else if (session && step.kind === "success") {
            this.owned.recordSuccess(session, step.ratio);
        }
        else if (session && step.kind === "stall") {
            this.owned.recordStall(session);
        }
        else if (worker) {
            worker.isUnreachable = !worker.isUnreachable;
        }
    }

    /** The choice by the owner's index and the one by a full scan. */
    choose(step: Step): Choice {
        const avoided = this.sessions.filter((_, index) => index % 5 === step.worker % 7);
        let expected: WorkerSession | undefined;
        this.strategy = input => {
            expected = chooseByFullScan(this.sessions, step.service, input);
            return chooseBestFit(input);
        };
        const chosen = this.owned.choose(step.service, step, avoided);
        return [chosen, expected];
    }

    /** What the owner says of its workers. */
    describe({ service, ...demand }: Step): Description {
        return {
            free: this.owned.getFreeCapacity(),
            capacity: this.owned.describeCapacity(service),
            isTooLarge: this.owned.findPermanentObstacle(newRequest(service, demand)) !== undefined,
        };
    }

    /** The same from a look at each worker. */
    describeByFullScan(demand: Step): Description {
        const present = this.getPresent();
        const usable = present.filter(session => session.isUsable);
        const getFree = (service: string) =>
            usable.filter(session => session.announcement.service === service)
                .map(session => session.free.millicores);
        const ofService = present.filter(session => session.announcement.service === demand.service);
        const free = getFree(demand.service);
        return {
            free: Object.fromEntries(
                services.map(service =>
                    [
                        service,
                        getFree(service).filter(millicores => millicores > 0).sort((one, other) => other - one),
                    ] as const
                ).filter(([, gaps]) => gaps.length > 0),
            ),
            capacity: {
                workers: ofService.length,
                usableWorkers: free.length,
                freeMillicores: free.reduce((sum, millicores) => sum + millicores, 0),
                largestGapMillicores: Math.max(0, ...free),
            },
            isTooLarge: ofService.length > 0 && !ofService.some(session => this.couldFit(session, demand)),
        };
    }

    /** True when the worker announced enough of each resource at some time. */
    private couldFit(session: WorkerSession, demand: Resources): boolean {
        const rooms = this.announcedRooms.get(session) ?? [];
        return rooms.some(room => room.millicores >= demand.millicores)
            && rooms.some(room => room.memoryMebibytes >= demand.memoryMebibytes)
            && rooms.some(room => room.accelerators >= demand.accelerators);
    }

    private async announce(step: Step): Promise<void> {
        const announcement: WorkerAnnouncement = {
            id: toWorkerId(`worker-${step.worker}`),
            incarnation: 1,
            sequence: this.sequence++,
            service: step.service,
            address: toAddress(`127.0.0.1:${step.worker + 1}`),
            zone: toZoneId("eire-dub"),
            state: step.state,
            room: { millicores: 4 * step.millicores, memoryMebibytes: 512, accelerators: step.worker % 2 },
        };
        if (!this.workers.has(announcement.id)) {
            this.workers.set(announcement.id, this.newWorker(announcement));
        }
        this.owned.set(announcement);
        this.collectSessions();
        const session = this.getPresent().find(present => present.id === announcement.id);
        if (session) {
            this.announcedRooms.set(session, [...this.announcedRooms.get(session) ?? [], announcement.room]);
        }
        await this.time.advance(settlingMs);
    }

    private collectSessions(): void {
        this.sessions.push(...this.getPresent().filter(session => !this.sessions.includes(session)));
    }

    /** The sessions now: as every worker has at least this amount free, the strategy gets all those of a service. */
    private getPresent(): readonly WorkerSession[] {
        const present: WorkerSession[] = [];
        this.strategy = input => {
            present.push(...input.sessions);
            return undefined;
        };
        for (const service of services) {
            this.owned.choose(service, { millicores: -Infinity, memoryMebibytes: 0, accelerators: 0 }, []);
        }
        return present;
    }

    private start(step: Step): void {
        this.strategy = chooseBestFit;
        const { millicores, memoryMebibytes, accelerators, runMs } = step;
        const name = toTaskName(`task-${this.requests.size}`);
        const request = { name, millicores, memoryMebibytes, accelerators, estimateMs: runMs };
        this.requests.set(name, request);
        this.owned.choose(step.service, step, [])?.start(request, 1, "");
    }

    private newWorker(announcement: WorkerAnnouncement): LeasedWorker {
        return new LeasedWorker({
            announcement,
            clock: this.time,
            timers: this.time,
            getRunMs: task => this.requests.get(task)!.estimateMs,
            getResources: task => this.requests.get(task)!,
            onStart: () => undefined,
            onCompletion: () => undefined,
        });
    }
}

const step: fc.Arbitrary<Step> = fc.record({
    kind: fc.constantFrom("announce", "announce", "start", "start", "start", "success", "stall", "reach", "advance"),
    worker: fc.integer({ min: 0, max: 11 }),
    service: fc.constantFrom(...services),
    state: fc.constantFrom("ready", "ready", "ready", "draining", "left"),
    ratio: fc.double({ min: 0.5, max: 9, noNaN: true }),
    runMs: fc.integer({ min: 1, max: 300 }),
    millicores: fc.integer({ min: 1, max: 8 }).map(units => 500 * units),
    memoryMebibytes: fc.constantFrom(32, 64, 200),
    accelerators: fc.constantFrom(0, 0, 0, 1),
});

describe("choice of a worker", () => {
    test.each(seeds)("the index gives the worker that a full scan gives, seed %i", async seed => {
        let chosenCount = 0;
        await fc.assert(
            fc.asyncProperty(fc.array(step, { minLength: 20, maxLength: 60 }), async steps => {
                const harness = new ChoiceHarness();
                for (const current of steps) {
                    await harness.run(current);
                    const [chosen, expected] = harness.choose(current);
                    expect(chosen?.id).toBe(expected?.id);
                    expect(chosen).toBe(expected);
                    chosenCount += chosen ? 1 : 0;
                }
            }),
            { seed, numRuns: sequencesPerSeed },
        );
        expect(chosenCount).toBeGreaterThan(250);
    });

    test.each(seeds)("capacity and tasks too large for any worker are those of a full scan, seed %i", async seed => {
        let tooLargeCount = 0;
        await fc.assert(
            fc.asyncProperty(fc.array(step, { minLength: 20, maxLength: 60 }), async steps => {
                const harness = new ChoiceHarness();
                for (const current of steps) {
                    await harness.run(current);
                    const expected = harness.describeByFullScan(current);
                    expect(harness.describe(current)).toEqual(expected);
                    tooLargeCount += expected.isTooLarge ? 1 : 0;
                }
            }),
            { seed, numRuns: sequencesPerSeed },
        );
        expect(tooLargeCount).toBeGreaterThan(50);
    });

    test("a worker whose announced room grows or shrinks is chosen by its new room", async () => {
        const harness = new ChoiceHarness();
        const base: Step = {
            kind: "announce",
            worker: 0,
            service: "desk",
            state: "ready",
            ratio: 1,
            runMs: 10,
            millicores: 1_000,
            memoryMebibytes: 32,
            accelerators: 0,
        };
        const demand = { ...base, millicores: 3_000 };
        const chosen: (string | undefined)[] = [];
        for (const millicores of [500, 2_000, 500]) {
            await harness.run({ ...base, millicores });
            chosen.push(harness.choose(demand)[0]?.id);
        }
        expect(chosen).toEqual([undefined, "worker-0", undefined]);
    });
});
