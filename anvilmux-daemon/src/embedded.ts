/** The demonstration that `npm start` runs: a deployment in one process whose every answer is checked. */

import { runTimeHeader, workIdHeader } from "@anvilmux/stand-ins";
import { performance } from "node:perf_hooks";
import { request } from "undici";
import { Deployment } from "./Deployment";
import { newRiderDeskManifest, sampleCaller } from "./sampleManifests";

export interface EmbeddedResult {
    readonly deployment: Deployment;
    readonly rows: readonly EmbeddedRow[];
    readonly allRight: boolean;
}

/** One line of the summary table. */
export interface EmbeddedRow {
    readonly check: string;
    readonly right: number;
    readonly total: number;
    readonly milliseconds: number;
}

const callCount = 60;
const taskCount = 160;
const maximumSubmissions = 20;
const resubmitDelayMs = 500;
const authorization = `Bearer ${sampleCaller.token}`;

/** Starts the deployment, sends calls and a job through different entries and checks each answer. */
export const runEmbedded = async (dataFolder?: string): Promise<EmbeddedResult> => {
    const deployment = new Deployment({
        zones: ["eire-dub", "eire-cork", "eire-gal"],
        entriesPerZone: 2,
        upstreamsPerZone: 3,
        slotsPerUpstream: 8,
        workersPerZone: 3,
        processorsPerWorker: 16,
        service: "rider-desk",
        dataFolder,
    });
    await deployment.start();
    const rows: EmbeddedRow[] = [];
    const check = async (name: string, total: number, run: () => Promise<number>) => {
        const startedAt = performance.now();
        rows.push({ check: name, right: await run(), total, milliseconds: performance.now() - startedAt });
    };
    await check("manifest accepted and in force everywhere", deployment.instances.size, async () => {
        await deployment.submitManifest(newRiderDeskManifest(1));
        await deployment.waitUntilReady();
        return deployment.instances.size;
    });
    await check("urgent calls answered through every entry", callCount, () => sendCalls(deployment));
    await check("keyed call sent twice, run once", 1, () => sendKeyedCall(deployment));
    await check("160-task job complete, fetched through another entry", taskCount, () => runJob(deployment));
    return { deployment, rows, allRight: rows.every(row => row.right === row.total) };
};

const sendCalls = async (deployment: Deployment): Promise<number> => {
    const ids = deployment.getInstanceIds();
    const results = await Promise.all(Array.from({ length: callCount }, async (_unused, number) => {
        const entry = deployment.getPublicAddress(ids[number % ids.length]!);
        const response = await request(`http://${entry}/v1/services/rider-desk/allergy-screen?show=${number}`, {
            method: "POST",
            headers: { authorization, [runTimeHeader]: "60", [workIdHeader]: `screen-${number}` },
            body: `performer ${number}`,
        });
        const answer = await response.body.json() as { readonly echo: string; readonly workId: string; };
        return response.headers["anvilmux-outcome"] === "answered"
            && answer.echo === `performer ${number}`
            && answer.workId === `screen-${number}`;
    }));
    return results.filter(isCorrect => isCorrect).length;
};

const sendKeyedCall = async (deployment: Deployment): Promise<number> => {
    const ids = deployment.getInstanceIds();
    const send = async (id: string) => {
        const entry = deployment.getPublicAddress(id);
        const response = await request(`http://${entry}/v1/services/rider-desk/drop-confirm`, {
            method: "POST",
            headers: { authorization, "idempotency-key": "van-1", [runTimeHeader]: "20", [workIdHeader]: "van-1" },
            body: "dressing room 4",
        });
        return response.body.text();
    };
    const first = await send(ids[0]!);
    const second = await send(ids.at(-1)!);
    const runs = deployment.upstreams.reduce((sum, item) => sum + (item.standIn.starts.get("van-1") ?? 0), 0);
    return first === second && runs === 1 ? 1 : 0;
};

const runJob = async (deployment: Deployment): Promise<number> => {
    const ids = deployment.getInstanceIds();
    const tasks = Array.from({ length: taskCount }, (_unused, number) => ({
        id: `task-${number}`,
        payload: JSON.stringify({ runMs: 50 + number }),
    }));
    const jobId = await submitJob(deployment.getPublicAddress(ids[1]!), {
        submissionId: "sample-job",
        urgent: true,
        tasks,
    });
    const fetched = await request(`http://${deployment.getPublicAddress(ids.at(-1)!)}/v1/jobs/${jobId}?waitMs=20000`, {
        headers: { authorization },
    });
    const job = await fetched.body.json() as {
        readonly state: string;
        readonly results?: Readonly<Record<string, string>>;
    };
    const results = job.state === "complete" ? job.results ?? {} : {};
    return tasks.filter(task => results[task.id] === `done ${jobId}/${task.id}`).length;
};

/** Submits a job; retries while it is refused with status 503, as before the entry has discovered the workers. */
const submitJob = async (address: string, submission: unknown): Promise<string> => {
    for (let attempt = 0;; attempt++) {
        const response = await request(`http://${address}/v1/jobs`, {
            method: "POST",
            headers: { authorization, "content-type": "application/json" },
            body: JSON.stringify(submission),
        });
        const { jobId } = await response.body.json() as { readonly jobId?: string; };
        if (jobId !== undefined) {
            return jobId;
        }
        if (response.statusCode !== 503 || attempt >= maximumSubmissions) {
            throw new Error(`job refused with status ${response.statusCode}`);
        }
        await new Promise(resolve => setTimeout(resolve, resubmitDelayMs));
    }
};
