/** The deployment that is played: three zones, the last of them with too few workers for its callers. */

import type { Milliseconds } from "@anvilmux/common";
import type { Program } from "./types";

interface ZoneLayout {
    readonly name: string;
    readonly entries: number;
    readonly workers: number;
    readonly jobsPerSecond: number;
}

export const zones: readonly ZoneLayout[] = [
    { name: "north", entries: 3, workers: 6, jobsPerSecond: 5 },
    { name: "south", entries: 2, workers: 7, jobsPerSecond: 5 },
    { name: "full", entries: 2, workers: 3, jobsPerSecond: 13 },
];

export const programs: readonly Program[] = zones.flatMap(({ name, entries }) => [
    { name: `control-${name}`, role: "control" as const, zone: name },
    ...Array.from({ length: entries }, (_, index) => ({
        name: `entry-${name}-${index + 1}`,
        role: "entry" as const,
        zone: name,
    })),
]);

export const workerZones: readonly string[] = zones.flatMap(({ name, workers }) =>
    Array.from({ length: workers }, () => name)
);

export const service = "desk";
export const queueHost = "queues.example";
export const workerMillicores = 64_000;
export const taskMillicores = 27_000;

export interface JobKind {
    readonly pathPrefix: string;
    readonly priority: number;
    readonly tasks: number;
    readonly runMs: Milliseconds;
    /** Share of all jobs. */
    readonly share: number;
}

export const jobKinds: readonly JobKind[] = [
    { pathPrefix: "/short/", priority: 0, tasks: 8, runMs: 51, share: 0.24 },
    { pathPrefix: "/long/", priority: 2, tasks: 4, runMs: 760, share: 0.06 },
    { pathPrefix: "/usual/", priority: 1, tasks: 2, runMs: 170, share: 0.7 },
];

/** How long a caller waits for the answer to a job, and how long it waits before it sends the job again. */
export const callerWaitMs: Milliseconds = 1_500;
export const resendAfterMs: Milliseconds = 1_300;
/** Time between SIGTERM and SIGKILL. */
export const graceMs: Milliseconds = 6_000;
