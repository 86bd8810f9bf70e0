/** A call to a worker as a message, so that another entry of the zone can make it for the owner of the workers. */

import type { Milliseconds } from "@anvilmux/common";
import { stallGraceShare, stallToleranceShare } from "./constants";
import type { StartAnswer, StartOrder, TaskName, WatchAnswer, WatchOrder, WorkerDriver, WorkerTarget } from "./types";

export type WorkerCall =
    | { readonly kind: "start"; readonly order: StartOrder; }
    | { readonly kind: "stop"; readonly task: TaskName; readonly run: number; readonly fencingToken: number; }
    | { readonly kind: "watch"; readonly order: WatchOrder; };

/** The answer to a call; a boolean answers a stop. */
export type WorkerCallAnswer = StartAnswer | WatchAnswer | boolean;

export interface NumberedWorkerCall {
    /** Identifies the call among those of one owner process. */
    readonly number: number;
    readonly worker: WorkerTarget;
    readonly call: WorkerCall;
}

export const makeWorkerCall = (driver: WorkerDriver, call: WorkerCall): Promise<WorkerCallAnswer> => {
    switch (call.kind) {
        case "start":
            return driver.start(call.order);
        case "stop":
            return driver.stop(call.task, call.run, call.fencingToken);
        case "watch":
            return driver.watch(call.order);
    }
};

/** Time within which a driver answers a call, given the timeout of its orders, also after it did not run for a while. */
export const getCallTimeout = (call: WorkerCall, orderTimeoutMs: Milliseconds): Milliseconds =>
    (call.kind === "watch" ? call.order.timeoutMs : orderTimeoutMs) * (1 + stallToleranceShare + stallGraceShare);
