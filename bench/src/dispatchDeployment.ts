/** Starts the processes of the dispatch bench, plays one load on them and collects its figures. */

import { newSystemClock, newSystemTimers } from "@anvilmux/common";
import type { Milliseconds } from "@anvilmux/common";
import type { StandInCounts } from "@anvilmux/platform";
import { newSilentLogger } from "@anvilmux/telemetry";
import type { ChildProcess } from "node:child_process";
import { receiveMessage, startProcess, stopProcess } from "./childProcesses";
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
    const workers = startProcess("dispatch-workers", { count: run.workers } satisfies WorkersArguments);
    const { addresses } = await receiveMessage<FromWorkers, "listening">(workers, "listening");
    const relays = Array.from(
        { length: relayProcesses },
        () =>
            startProcess(
                "dispatch-relays",
                { count: Math.ceil(entryCount / relayProcesses) } satisfies RelaysArguments,
            ),
    );
    const relayAddresses = await Promise.all(
        relays.map(async child => (await receiveMessage<FromRelays, "listening">(child, "listening")).addresses),
    );
    const ownerArguments: OwnerArguments = { workers: addresses, relays: relayAddresses.flat() };
    const owner = startProcess("dispatch-owner", ownerArguments, ownerOptions);
    const { address } = await receiveMessage<FromOwner, "listening">(owner, "listening");
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
    await Promise.all([owner, ...relays, workers].map(stopProcess));
    return { cost, jobs, counts, disconnections, standInDelayP99Ms };
};

const tell = (child: ChildProcess, message: ToProcess): void => void child.send(message);

/** Ends the measurement of a process and returns its report. */
const ask = <Message extends { readonly type: string; }, Type extends Message["type"]>(
    child: ChildProcess,
    type: Type,
): Promise<Extract<Message, { readonly type: Type; }>> => {
    const report = receiveMessage<Message, Type>(child, type);
    tell(child, { type: "end" });
    return report;
};
