/** Processor time and memory of a process, read from `/proc`. */

import { readFileSync } from "node:fs";

const clockTicksPerSecond = 100;

/** Processor time of a process so far, in milliseconds. */
export const getProcessorMs = (processId: number): number => {
    const fields = readFileSync(`/proc/${processId}/stat`, "utf8").split(") ")[1]!.split(" ");
    return (Number(fields[11]) + Number(fields[12])) * 1_000 / clockTicksPerSecond;
};

export const getResidentMebibytes = (processId: number): number => {
    const line = readFileSync(`/proc/${processId}/status`, "utf8").split("\n").find(item => item.startsWith("VmRSS"))!;
    return Number(line.replaceAll(/\D/g, "")) / 1_024;
};
