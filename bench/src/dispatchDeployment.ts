/** Starts the processes of the dispatch bench, plays one load on them and collects its figures. */

import { newSystemClock, newSystemTimers } from "@anvilmux/common";
import type { Milliseconds } from "@anvilmux/common";
import type { StandInCounts } from "@anvilmux/platform";
import { newSilentLogger } from "@anvilmux/telemetry";
import { spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { once } from "node:events";
import { resolve } from "node:path";
import { DispatchLoad, entryCount } from "./DispatchLoad";
import type { JobRecord } from "./DispatchLoad";
import type {
    FromOwner,
    FromRelays,
    FromWorkers,
    OwnerArguments,
    OwnerCost,
    RelaysArguments,
    ToProcess,
    WorkersArguments,
} from "./dispatchMessages";
import { LoopDelay } from "./LoopDelay";

export interface DispatchRun {
    readonly workers: number;
    /** Tasks submitted per second, in the mean. */
    readonly taskRate: number;
    /** Share of a core that the owner may use after the warm-up; undefined leaves it unlimited. */
    readonly processorShare: number | undefined;
    readonly seed: number;
    /** Tasks submitted per second before the measurement, so that the owner's code is compiled. */
    readonly warmUpRate: number;
    readonly warmUpMs: Milliseconds;
    readonly measuredMs: Milliseconds;
}

export interface DispatchResult {
    readonly cost: OwnerCost;
    readonly jobs: readonly JobRecord[];
    readonly counts: StandInCounts;
    /** How often a submitting entry lost its connection to the owner. */
    readonly disconnections: number;
    /** Event loop delay of the load and the stand-in workers; when it is long, the run says little about the owner. */
    readonly standInDelayP99Ms: Milliseconds;
}

/** Processes among which the other entries of the zone are spread. */
const relayProcesses = 3;
/** Time in which the owner connects to its workers and reads their lists. */
const settleMs = 800;
/** Time from the begin of the limit on processor time to that of the measurement. */
const limitedSettleMs = 1_000;
/** Options for the measured process alone, for example those of a profiler. */
const ownerOptions = process.env["DISPATCH_OWNER_OPTIONS"]?.split(" ") ?? [];

export const playDispatch = async (run: DispatchRun): Promise<DispatchResult> => {
    const workers = start("dispatch-workers", { count: run.workers } satisfies WorkersArguments, []);
    const { addresses } = await receive<FromWorkers, "listening">(workers, "listening");
    const relays = Array.from(
        { length: relayProcesses },
        () => start("dispatch-relays", { count: Math.ceil(entryCount / relayProcesses) } satisfies RelaysArguments, []),
    );
    const relayAddresses = await Promise.all(
        relays.map(async child => (await receive<FromRelays, "listening">(child, "listening")).addresses),
    );
    const ownerArguments: OwnerArguments = { workers: addresses, relays: relayAddresses.flat() };
    const owner = start("dispatch-owner", ownerArguments, ownerOptions);
    const { address } = await receive<FromOwner, "listening">(owner, "listening");
    const environment = { clock: newSystemClock(), timers: newSystemTimers(), logger: newSilentLogger() };
    const load = new DispatchLoad(address, run.seed, environment);
    await new Promise(resolvePause => setTimeout(resolvePause, settleMs));
    await load.run(run.warmUpRate, run.warmUpMs);
    if (run.processorShare !== undefined) {
        tell(owner, { type: "limit", share: run.processorShare });
        await load.run(run.taskRate, limitedSettleMs);
    }
    const loadDelay = new LoopDelay();
    loadDelay.restart();
    tell(workers, { type: "begin" });
    tell(owner, { type: "begin" });
    const jobs = await load.run(run.taskRate, run.measuredMs);
    const { cost } = await ask<FromOwner, "cost">(owner, "cost");
    await load.drain();
    const { counts, loopDelayP99Ms } = await ask<FromWorkers, "counts">(workers, "counts");
    const standInDelayP99Ms = Math.max(loopDelayP99Ms, loadDelay.getPercentileMs(99));
    const { disconnections } = load;
    load.stop();
    await Promise.all([owner, ...relays, workers].map(stop));
    return { cost, jobs, counts, disconnections, standInDelayP99Ms };
};

const start = (program: string, programArguments: object, options: readonly string[]): ChildProcess =>
    spawn(
        process.execPath,
        [...options, resolve("dist/bench.js"), "process", program, JSON.stringify(programArguments)],
        // The logging library writes lines only when this variable is set.
        { stdio: ["ignore", "ignore", "inherit", "ipc"], env: { ...process.env, ROARR_LOG: "true" } },
    );

const stop = async (child: ChildProcess): Promise<void> => {
    const exited = once(child, "exit");
    child.disconnect();
    await exited;
};

const tell = (child: ChildProcess, message: ToProcess): void => void child.send(message);

/** Ends the measurement of a process and returns its report. */
const ask = <Message extends { readonly type: string; }, Type extends Message["type"]>(
    child: ChildProcess,
    type: Type,
): Promise<Extract<Message, { readonly type: Type; }>> => {
    const report = receive<Message, Type>(child, type);
    tell(child, { type: "end" });
    return report;
};

/** The next message of a type; rejects when the process exits before it was sent. */
const receive = <Message extends { readonly type: string; }, Type extends Message["type"]>(
    child: ChildProcess,
    type: Type,
): Promise<Extract<Message, { readonly type: Type; }>> =>
    new Promise((resolveMessage, reject) => {
        const listener = (message: unknown) => {
            if ((message as Message).type === type) {
                child.off("message", listener);
                child.off("exit", fail);
                resolveMessage(message as Extract<Message, { readonly type: Type; }>);
            }
        };
        const fail = (code: unknown) => reject(new Error(`process exited with code ${code} before "${type}"`));
        child.on("message", listener);
        child.once("exit", fail);
    });
