/** Checks the options of the command, plays the seeds, and prints a line for each and a summary. */

import { fork } from "node:child_process";
import { mkdtempSync } from "node:fs";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";
import { fileURLToPath } from "node:url";
import { SoakError } from "./errors";
import { parseCount, parseSeeds } from "./parseOptions";
import type { PlayOptions, PlayResult } from "./playSeed";

export type Flags = Readonly<Record<string, string | number | boolean | undefined>>;

const exitBroken = 1;
const exitUsage = 2;
const maximumJobs = 20;
const maximumSeconds = 3_600;
const millisecondsPerSecond = 1_000;

/** Returns the exit status. */
export const runSeeds = async (flags: Flags): Promise<number> => {
    let plays: readonly PlayOptions[];
    let jobs: number;
    try {
        plays = toPlays(flags);
        jobs = parseCount("jobs", flags["jobs"], maximumJobs);
    }
    catch (error) {
        if (!(error instanceof SoakError)) {
            throw error;
        }
        process.stderr.write(`${error.message}\n`);
        return exitUsage;
    }
    const waiting = [...plays];
    const results: PlayResult[] = [];
    await Promise.all(Array.from({ length: Math.min(jobs, plays.length) }, async () => {
        for (let play = waiting.shift(); play; play = waiting.shift()) {
            const result = await playApart(play);
            results.push(result);
            process.stdout.write(`${describe(result)}\n`);
        }
    }));
    const broken = results.filter(({ violations }) => violations.length > 0);
    const seeds = broken.map(({ seed }) => seed).sort((left, right) => left - right).join(", ");
    process.stdout.write(`${results.length} plays, ${broken.length} with broken promises${seeds && `: ${seeds}`}\n`);
    return broken.length > 0 ? exitBroken : 0;
};

const toPlays = (flags: Flags): readonly PlayOptions[] => {
    const seconds = parseCount("seconds", flags["seconds"], maximumSeconds);
    const results = mkdtempSync(join(tmpdir(), "anvilmux-soak-"));
    return parseSeeds(flags["seeds"]).map(seed => ({
        seed,
        lengthMs: seconds * millisecondsPerSecond,
        programPath: resolve(String(flags["program"])),
        hasForwardersBetween: flags["direct"] !== true,
        folder: join(results, `seed-${seed}`),
        keepsFolder: flags["keep"] === true,
    }));
};

/** Rejects when the process of the play ends without a result. */
const playApart = (play: PlayOptions): Promise<PlayResult> =>
    new Promise((resolveResult, reject) => {
        const child = fork(fileURLToPath(new URL("./soakProcess.js", import.meta.url)));
        child.once("message", result => resolveResult(result as PlayResult));
        child.once("exit", code => reject(new Error(`the play of seed ${play.seed} ended with code ${code}`)));
        child.send(play);
    });

const describe = ({ seed, faults, jobs, tasksStarted, outcomes, violations, folder }: PlayResult): string => {
    const verdict = violations.length === 0 ? "held" : `broken ${violations.length}`;
    const counts = Object.entries(outcomes).map(([outcome, count]) => `${outcome} ${count}`).join(", ");
    const lines = violations.slice(0, 5).map(({ promise, detail, atMs }) => `    ${promise} at ${atMs} ms: ${detail}`);
    return [
        `seed ${seed}: ${verdict}; ${faults} faults, ${jobs} jobs, ${tasksStarted} tasks started, answers ${counts}`,
        ...lines,
        ...folder === undefined ? [] : [`    logs in ${folder}`],
    ].join("\n");
};
