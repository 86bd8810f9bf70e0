/** One play in a process of its own, so that plays do not delay each other's callers and workers. */

import { playSeed } from "./playSeed";
import type { PlayOptions } from "./playSeed";

const exitAbandoned = 1;

// The programs of the play are ended on exit.
process.once("disconnect", () => process.exit(exitAbandoned));
["SIGINT", "SIGTERM"].forEach(signal => process.once(signal, () => process.exit(exitAbandoned)));
process.once("message", (options: PlayOptions) => {
    void playSeed(options).then(result => process.send?.(result, () => process.exit(0)));
});
