/** Sample manifests modelled on two deployments: a rider desk and a house price index. */

import { getSha256 } from "@anvilmux/common";

/** A caller of the sample deployment with its token. */
export interface SampleCaller {
    readonly name: string;
    readonly token: string;
}

export const sampleCaller: SampleCaller = { name: "desk", token: "sample-desk-token" };

const newSampleCaller = (team: string, service: string) => ({
    name: sampleCaller.name,
    team,
    tokenSha256: getSha256(sampleCaller.token),
    services: [{ service }],
    jobs: true,
});

/** The rider desk: three urgent kinds of calls, one of which must run at most once, and a long report. */
export const newRiderDeskManifest = (version: number): unknown => ({
    format: 1,
    version,
    services: [{
        name: "rider-desk",
        kinds: [
            { name: "rider-check", urgent: true, repeatable: true, deadlineMs: 2_000, declaredRunMs: 150 },
            { name: "drop-confirm", urgent: true, keyRequired: true, deadlineMs: 5_000, declaredRunMs: 100 },
            { name: "allergy-screen", urgent: true, repeatable: true, deadlineMs: 2_000, declaredRunMs: 60 },
            { name: "stock-report", repeatable: true, deadlineMs: 30_000, declaredRunMs: 3_000 },
        ],
    }],
    teams: [{ name: "touring" }],
    callers: [newSampleCaller("touring", "rider-desk")],
});

/** The house price index: short look-ups, billed queries that need an idempotency key, and long revaluations. */
export const newIndexManifest = (version: number): unknown => ({
    format: 1,
    version,
    services: [{
        name: "endeks-api",
        kinds: [
            { name: "lookup", urgent: true, repeatable: true, deadlineMs: 1_000, declaredRunMs: 60 },
            { name: "comparable-sales", urgent: true, keyRequired: true, deadlineMs: 5_000, declaredRunMs: 200 },
            { name: "district-revaluation", repeatable: true, deadlineMs: 60_000, declaredRunMs: 5_000 },
        ],
    }],
    teams: [{ name: "appraisers", weight: 2 }, { name: "banks" }, { name: "registry" }],
    callers: [newSampleCaller("appraisers", "endeks-api")],
});
