/** Limits of a manifest that the schema allows one by one but that contradict each other. */

import { getObjective } from "@anvilmux/dispatch";
import { defaultJobDeadlineMs, defaultMaximumAnswerBytes } from "@anvilmux/manifest";
import type { Manifest, Queue, Service, WorkKind } from "@anvilmux/manifest";
import { maximumRecordedAnswerBytes } from "@anvilmux/routing";
import { newDoubt } from "./findings";
import type { Finding } from "./findings";

export const findContradictions = (manifest: Manifest): readonly Finding[] => [
    ...manifest.queues.flatMap((queue, index) => checkQueue(queue, `/queues/${index}`)),
    ...manifest.services.flatMap((service, index) => checkKinds(service, `/services/${index}`, manifest)),
    ...checkJobs(manifest),
];

const checkQueue = (queue: Queue, pointer: string): readonly Finding[] => {
    const { name, stretch, targetLatencyMs, timeoutMs } = queue;
    const findings: Finding[] = [];
    // The objective grows more slowly than the task for a stretch below 1, so the longest task that a caller waits for
    // shows whether any objective is below the run time of its own task.
    if (getObjective(queue, timeoutMs) < timeoutMs) {
        const longestMs = Math.floor(targetLatencyMs / (1 - stretch));
        const subject = longestMs > 0
            ? `jobs of queue "${name}" whose longest task runs for more than ${longestMs} ms`
            : `all jobs of queue "${name}"`;
        const text = `${subject} miss their objective, however early they start`;
        findings.push(newDoubt(`${pointer}/stretch`, "objective-below-task", text));
    }
    if (timeoutMs < targetLatencyMs) {
        const text =
            `callers of queue "${name}" wait ${timeoutMs} ms, less than the target latency of ${targetLatencyMs} ms`;
        findings.push(newDoubt(`${pointer}/timeoutMs`, "timeout-below-target-latency", text));
    }
    return findings;
};

const checkKinds = (service: Service, pointer: string, manifest: Manifest): readonly Finding[] =>
    service.kinds.flatMap((kind, index) => {
        const kindPointer = `${pointer}/kinds/${index}`;
        const subject = `work kind "${kind.name}" of service "${service.name}"`;
        const findings: Finding[] = [];
        if (kind.deadlineMs < kind.declaredRunMs) {
            const text =
                `callers of ${subject} wait ${kind.deadlineMs} ms, less than its run time of ${kind.declaredRunMs} ms`;
            findings.push(newDoubt(`${kindPointer}/deadlineMs`, "deadline-below-run-time", text));
        }
        if (kind.keyRequired && manifest.claimRetentionMs < kind.deadlineMs) {
            const text = `keys of ${subject} are kept for ${manifest.claimRetentionMs} ms, less than its deadline of `
                + `${kind.deadlineMs} ms, so a request sent again may run twice`;
            findings.push(newDoubt(`${kindPointer}/deadlineMs`, "deadline-above-claim-retention", text));
        }
        return [...findings, ...checkAnswerLimit(kind, subject, kindPointer)];
    });

/** The default, which is larger than what is recorded, is not reported. */
const checkAnswerLimit = (kind: WorkKind, subject: string, pointer: string): readonly Finding[] => {
    const { keyRequired, maximumAnswerBytes } = kind;
    if (
        !keyRequired || maximumAnswerBytes <= maximumRecordedAnswerBytes
        || maximumAnswerBytes === defaultMaximumAnswerBytes
    ) {
        return [];
    }
    const text = `answers of ${subject} are recorded, which limits them to ${maximumRecordedAnswerBytes} bytes`;
    return [newDoubt(`${pointer}/maximumAnswerBytes`, "answer-limit-above-recorded", text)];
};

/** The default run time is not reported: a manifest that states only a shorter deadline does not contradict itself. */
const checkJobs = ({ jobs, claimRetentionMs }: Manifest): readonly Finding[] => {
    const findings: Finding[] = [];
    if (jobs.maximumTaskRunMs > jobs.deadlineMs && jobs.maximumTaskRunMs !== defaultJobDeadlineMs) {
        const text =
            `tasks may run for ${jobs.maximumTaskRunMs} ms, longer than the deadline of jobs, ${jobs.deadlineMs} ms`;
        findings.push(newDoubt("/jobs/maximumTaskRunMs", "task-run-above-deadline", text));
    }
    if (claimRetentionMs < jobs.deadlineMs) {
        const text =
            `submission ids are kept for ${claimRetentionMs} ms, less than the deadline of jobs, ${jobs.deadlineMs} `
            + "ms, so a submission sent again may run twice";
        findings.push(newDoubt("/jobs/deadlineMs", "deadline-above-claim-retention", text));
    }
    return findings;
};
