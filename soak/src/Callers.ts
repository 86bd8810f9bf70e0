/**
 * The callers of a play. Each belongs to a zone, keeps its connections to entries open, and waits a limited time for each
 * answer. Without one it sends the job again, to any entry of any zone.
 */

import type { Milliseconds } from "@anvilmux/common";
import { sampleExponential } from "@anvilmux/common";
import { getTaskNames, submitJob } from "@anvilmux/platform";
import type { SubmissionOutcome, SubmittedJob } from "@anvilmux/platform";
import { Agent } from "node:http";
import { pause } from "./Deployment";
import { draw, drawWeighted } from "./draw";
import { callerWaitMs, jobKinds, programs, queueHost, resendAfterMs, taskMillicores, zones } from "./layout";
import type { PlayParts } from "./PlayParts";

interface Caller {
    readonly number: number;
    readonly zone: string;
    readonly agent: Agent;
}

const callersPerZone = 12;
const maximumTries = 3;
const readinessPeriodMs: Milliseconds = 1_000;
/** Readiness checks without success after which an entry gets no new callers. */
const missesToLeave = 2;
const millisecondsPerSecond = 1_000;

export class Callers {
    private readonly callers: readonly Caller[] = zones.flatMap(({ name }, zoneNumber) =>
        Array.from({ length: callersPerZone }, (_, index) => ({
            number: zoneNumber * callersPerZone + index,
            zone: name,
            agent: new Agent({ keepAlive: true }),
        }))
    );
    private readonly misses = new Map<string, number>();
    private readonly open = new Set<Promise<void>>();
    private isStopped = false;
    private jobCount = 0;
    /** Jobs that were submitted since the last call of `beginCount`, and how many of them were done. */
    private counts = { submitted: 0, completed: 0 };

    constructor(private readonly parts: PlayParts) {}

    start(): void {
        void this.checkReadiness();
        zones.forEach(({ name, jobsPerSecond }) => void this.submitJobs(name, millisecondsPerSecond / jobsPerSecond));
    }

    beginCount(): Readonly<typeof this.counts> {
        this.counts = { submitted: 0, completed: 0 };
        return this.counts;
    }

    /** Submits no more jobs; resolves once all callers have their answers or have given up. */
    async stop(): Promise<void> {
        this.isStopped = true;
        await Promise.all(this.open);
        this.callers.forEach(({ agent }) => agent.destroy());
    }

    private async submitJobs(zone: string, meanPeriodMs: Milliseconds): Promise<void> {
        const { random } = this.parts;
        const callers = this.callers.filter(caller => caller.zone === zone);
        while (!this.isStopped) {
            await pause(sampleExponential(random, meanPeriodMs));
            const served = this.serve(draw(random, callers));
            this.open.add(served);
            void served.finally(() => this.open.delete(served));
        }
    }

    private async serve(caller: Caller): Promise<void> {
        const { checker, random } = this.parts;
        const job = this.newJob();
        checker.handleSubmission(job.id, getTaskNames(job));
        const { counts } = this;
        counts.submitted += 1;
        let entry = this.selectEntry(caller);
        for (let tries = 0; tries < maximumTries; tries++) {
            const outcome = await this.send(job, caller, entry);
            if (outcome !== "none" && outcome !== "unknown") {
                counts.completed += outcome === "completed" ? 1 : 0;
                return;
            }
            await pause(resendAfterMs);
            entry = draw(random, getEntries()).name;
        }
    }

    private async send(job: SubmittedJob, caller: Caller, entry: string): Promise<SubmissionOutcome> {
        const { checker, deployment, log } = this.parts;
        log(`caller ${caller.number} sends ${job.id} to ${entry}`);
        const outcome = await submitJob(deployment.getCallerAddress(entry), job, callerWaitMs, caller.agent);
        log(`caller ${caller.number} has ${outcome} of ${job.id} from ${entry}`);
        checker.handleAnswer(job.id, outcome);
        return outcome;
    }

    private newJob(): SubmittedJob {
        const { random } = this.parts;
        this.jobCount += 1;
        const kind = drawWeighted(random, jobKinds.map(item => [item.share, item] as const));
        return {
            id: this.jobCount.toString(16).padStart(16, "0"),
            queueHost,
            pathPrefix: kind.pathPrefix,
            payload: { millicores: taskMillicores, runMs: Array.from({ length: kind.tasks }, () => kind.runMs) },
        };
    }

    /** The balancer: an entry of the caller's zone, always the same one while the same ones are ready. */
    private selectEntry({ number, zone }: Caller): string {
        const all = getEntries(zone);
        const ready = all.filter(({ name }) => (this.misses.get(name) ?? 0) < missesToLeave);
        const candidates = ready.length * 2 < all.length ? all : ready;
        return candidates[number % candidates.length]!.name;
    }

    private async checkReadiness(): Promise<void> {
        while (!this.isStopped) {
            for (const { name } of getEntries()) {
                void this.parts.deployment.isReady(name).then(isReady =>
                    this.misses.set(name, isReady ? 0 : (this.misses.get(name) ?? 0) + 1)
                );
            }
            await pause(readinessPeriodMs);
        }
    }
}

const getEntries = (zone?: string) =>
    programs.filter(program => program.role === "entry" && (zone === undefined || program.zone === zone));
