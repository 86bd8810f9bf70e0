/**
 * Lists the benches, or runs one by name and prints its result as one JSON line. `process NAME ARGUMENTS` runs one of
 * the processes that a bench starts.
 */

import { isMet } from "./types";

const [name = "list", ...rest] = process.argv.slice(2);
const seedPosition = rest.indexOf("--seed");
const seed = seedPosition >= 0 ? Number(rest[seedPosition + 1]) : 1;

const runProcess = async (program: string | undefined, programArguments = ""): Promise<void> => {
    switch (program) {
        case "connected-control":
            await (await import("./connectedProcesses")).runConnectedControl(programArguments);
            return;
        case "connected-entries":
            await (await import("./connectedProcesses")).runConnectedEntries(programArguments);
            return;
        case "dispatch-owner":
            await (await import("./dispatchOwnerProcess")).runOwner(programArguments);
            return;
        case "dispatch-relays":
            await (await import("./dispatchRelaysProcess")).runRelays(programArguments);
            return;
        case "dispatch-workers":
            await (await import("./dispatchWorkersProcess")).runWorkers(programArguments);
            return;
        default:
            process.stderr.write(`unknown process "${program}"\n`);
            process.exit(2);
    }
};

const runBench = async (): Promise<void> => {
    const { benches } = await import("./registry");
    if (name === "list") {
        benches.forEach(bench => process.stdout.write(`${bench.name.padEnd(24)}${bench.description}\n`));
        process.exit(0);
    }
    const bench = benches.find(candidate => candidate.name === name);
    if (!bench) {
        process.stderr.write(
            `unknown bench "${name}"; known benches: ${benches.map(candidate => candidate.name).join(", ")}\n`,
        );
        process.exit(2);
    }
    const { metrics, baseline, targets } = await bench.run(seed);
    const met = targets.every(target => isMet(target, metrics));
    const target = Object.fromEntries(
        targets.map(item => [item.metric, { [item.bound]: item.value, met: isMet(item, metrics) }]),
    );
    process.stdout.write(JSON.stringify({ bench: bench.name, seed, metrics, baseline, target, met }) + "\n");
    process.exit(0);
};

// The processes that a bench starts load nothing but their own modules.
await (name === "process" ? runProcess(rest[0], rest[1]) : runBench());
