/** Plays the planned faults on a deployment and its workers. */

import type { Deployment } from "./Deployment";
import { pause } from "./Deployment";
import type { Drains } from "./Drains";
import type { ActiveFault, Forwarder } from "./Forwarder";
import type { PromiseChecker } from "./PromiseChecker";
import type { FaultAction, PlannedFault } from "./types";
import type { Workers } from "./Workers";

export interface FaultPlayerOptions {
    readonly deployment: Deployment;
    readonly workers: Workers;
    readonly drains: Drains;
    readonly checker: PromiseChecker;
    readonly log: (message: string) => void;
}

/** Ends the fault that it belongs to. */
type Finish = () => void | Promise<void>;

export class FaultPlayer {
    constructor(private readonly options: FaultPlayerOptions) {}

    /** Resolves once all faults are over. */
    async play(faults: readonly PlannedFault[]): Promise<void> {
        await Promise.all(faults.map(fault => this.playOne(fault)));
    }

    private async playOne({ atMs, lastsMs, action }: PlannedFault): Promise<void> {
        const { log, checker } = this.options;
        const disturbed = getDisturbedPrograms(action);
        await pause(atMs);
        checker.drains.beginFault(disturbed);
        log(`fault begins: ${JSON.stringify(action)} for ${Math.round(lastsMs)} ms`);
        const finish = await this.begin(action);
        await pause(lastsMs);
        await finish();
        checker.drains.endFault(disturbed);
        log(`fault is over: ${JSON.stringify(action)}`);
    }

    private async begin(action: FaultAction): Promise<Finish> {
        const { deployment, workers, drains } = this.options;
        switch (action.kind) {
            case "pause":
                deployment.pause(action.program);
                return () => deployment.resume(action.program);
            case "kill":
                await deployment.kill(action.program);
                return () => deployment.start(action.program);
            case "stop":
                await deployment.stop(action.program);
                return () => deployment.start(action.program);
            case "network": {
                const group = new Set(action.group);
                return beginAll(deployment.internalForwarders, {
                    fault: action.fault,
                    appliesTo: ({ target, source = "" }) => group.has(target) !== group.has(source),
                });
            }
            case "callers":
                return beginAll([deployment.callerForwarders.get(action.program)!], {
                    fault: action.fault,
                    appliesTo: () => true,
                });
            case "late-orders":
                workers.beginLateOrders(action);
                return () => workers.endLateOrders(action);
            case "hold-workers":
                workers.hold(action.workers);
                return () => workers.release(action.workers);
            case "crash-worker":
                workers.crash(action.worker);
                return () => workers.add(action.worker);
            case "drain":
                await drains.begin(action.zone);
                return () => drains.end(action.zone);
        }
    }
}

/** The programs that a fault stops or cuts off from others. */
const getDisturbedPrograms = (action: FaultAction): readonly string[] => {
    switch (action.kind) {
        case "pause":
        case "kill":
        case "stop":
            return [action.program];
        case "network":
            return action.group;
        default:
            return [];
    }
};

const beginAll = (forwarders: readonly Forwarder[], active: ActiveFault): Finish => {
    forwarders.forEach(forwarder => forwarder.begin(active));
    return () => forwarders.forEach(forwarder => forwarder.end(active));
};
