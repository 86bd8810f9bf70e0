/** Runs the stand-in workers of the dispatch bench in a separate process. */

import { StandInWorkers } from "@anvilmux/platform";
import { workerMillicores } from "./dispatchMessages";
import type { FromWorkers, ToProcess, WorkersArguments } from "./dispatchMessages";
import { LoopDelay } from "./LoopDelay";

/** Runs until the process that started this one disconnects or ends. */
export const runWorkers = async (text: string): Promise<void> => {
    const { count } = JSON.parse(text) as WorkersArguments;
    const workers = new StandInWorkers({ count, millicores: workerMillicores });
    const addresses = [...await workers.listen()];
    process.on("disconnect", () => process.exit(0));
    const loopDelay = new LoopDelay();
    process.on("message", (message: ToProcess) => {
        if (message.type === "begin") {
            loopDelay.restart();
        }
        else if (message.type === "end") {
            send({ type: "counts", counts: workers.counts, loopDelayP99Ms: loopDelay.getPercentileMs(99) });
        }
    });
    send({ type: "listening", addresses });
};

const send = (message: FromWorkers): void => void process.send?.(message);
