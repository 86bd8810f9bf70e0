/**
 * Routes to submit, fetch, await and cancel jobs. Any entry serves any job: the job id names the instance that holds
 * the job, and a request for another instance's job is forwarded there.
 */

import { getErrorMessage, getSha256, toAddress, toJobId } from "@anvilmux/common";
import type { JobId } from "@anvilmux/common";
import { getInstanceOfJob, JobError, submissionSchema } from "@anvilmux/jobs";
import type { JobDocument, Submission } from "@anvilmux/jobs";
import type { Kernel } from "@anvilmux/kernel";
import { toFaults } from "@anvilmux/manifest";
import type { Caller } from "@anvilmux/manifest";
import { newProblem, newRefusalProblem } from "@anvilmux/routing";
import type { Problem } from "@anvilmux/routing";
import type { Express, Request, Response } from "express";
import type { ServerResponse } from "node:http";
import {
    configurationToken,
    controlClientToken,
    jobsToken,
    lifecycleToken,
    networkToken,
    settingsToken,
    zoneViewToken,
} from "../tokens";
import { authenticateCaller } from "./authentication";
import { parseJsonBody, readContent } from "./body";
import {
    newForbiddenProblem,
    newInvalidRequestProblem,
    newNotFoundProblem,
    newNotReadyProblem,
    newUnauthorizedProblem,
    sendJson,
    sendProblem,
} from "./problems";

const maximumSubmissionBytes = 4 * 1_048_576;
const maximumWaitMs = 60_000;

export const registerJobRoutes = (app: Express, kernel: Kernel): void => {
    app.post("/v1/jobs", (request, response) => {
        void submitJob(kernel, request, response);
    });
    app.get("/v1/jobs/:id", (request, response) => {
        void serveExistingJob(kernel, request, response, false);
    });
    app.delete("/v1/jobs/:id", (request, response) => {
        void serveExistingJob(kernel, request, response, true);
    });
};

/** The caller if it may use jobs, or the problem for which its request is refused. */
const checkCaller = (kernel: Kernel, request: Request): Caller | Problem => {
    const configuration = kernel.get(configurationToken).configuration;
    if (!configuration) {
        return newNotReadyProblem("no configuration is in force at this instance yet");
    }
    const caller = authenticateCaller(request, configuration);
    if (!caller) {
        return newUnauthorizedProblem();
    }
    return caller.jobs ? caller : newForbiddenProblem();
};

const submitJob = async (kernel: Kernel, request: Request, response: Response): Promise<void> => {
    const caller = checkCaller(kernel, request);
    if ("status" in caller) {
        sendProblem(response, caller);
        return;
    }
    if (!kernel.get(lifecycleToken).isAdmitting) {
        sendProblem(response, newRefusalProblem("shutting-down", 1_000));
        return;
    }
    const body = await readContent(request, maximumSubmissionBytes);
    if ("status" in body) {
        sendProblem(response, body);
        return;
    }
    const submission = checkSubmission(kernel, body.content);
    if ("status" in submission) {
        sendProblem(response, submission);
        return;
    }
    await startJob(kernel, request, response, caller, submission, getSha256(body.content));
};

const checkSubmission = (kernel: Kernel, body: Buffer): Submission | Problem => {
    const document = parseJsonBody(body);
    const limit = kernel.get(configurationToken).configuration!.manifest.jobs.maximumTasks;
    // Counted before they are checked, as each of a long list can have faults of its own.
    const taskCount = countTasks(document);
    if (taskCount > limit) {
        return newInvalidRequestProblem(`/tasks: ${taskCount} tasks, at most ${limit} are allowed`);
    }
    const parsed = submissionSchema.safeParse(document);
    if (!parsed.success) {
        const faults = toFaults(parsed.error).map(fault => `${fault.pointer || "/"}: ${fault.reason}`);
        return newInvalidRequestProblem(faults.join("; "));
    }
    const { tasks } = parsed.data;
    if (new Set(tasks.map(task => task.id)).size < tasks.length) {
        return newInvalidRequestProblem("/tasks: task ids must differ");
    }
    return parsed.data;
};

const countTasks = (document: unknown): number => {
    const { tasks } = (document ?? {}) as { readonly tasks?: unknown; };
    return Array.isArray(tasks) ? tasks.length : 0;
};

const startJob = async (
    kernel: Kernel,
    request: Request,
    response: Response,
    caller: Caller,
    submission: Submission,
    digest: string,
): Promise<void> => {
    const jobs = kernel.get(jobsToken);
    const id = jobs.newJobId();
    const claimed = await claimSubmission(kernel, caller, submission, digest, id);
    if (typeof claimed !== "string") {
        sendProblem(response, claimed);
        return;
    }
    if (claimed !== id) {
        await serveJob(kernel, response, claimed, caller.team, getWaitMs(request), false);
        return;
    }
    try {
        jobs.start(id, caller.team, submission);
    }
    catch (error) {
        await releaseSubmission(kernel, caller, submission, id);
        sendProblem(response, toJobProblem(error));
        return;
    }
    const document = await jobs.fetch(id, caller.team, getWaitMs(request));
    sendDocument(response, document!);
};

const getSubmissionKey = (caller: Caller, submissionId: string): string => `job/${caller.team}/${submissionId}`;

/** Claims the submission id: returns `id`, or the id of the job that an earlier request with it started. */
const claimSubmission = async (
    kernel: Kernel,
    caller: Caller,
    submission: Submission,
    digest: string,
    id: JobId,
): Promise<JobId | Problem> => {
    if (submission.submissionId === undefined) {
        return id;
    }
    const retention = kernel.get(configurationToken).configuration!.manifest.claimRetentionMs;
    const key = getSubmissionKey(caller, submission.submissionId);
    try {
        const claim = await kernel.get(controlClientToken).claim(key, digest, id, retention);
        return claim.state === "mismatch"
            ? newProblem(
                422,
                "key-reused",
                "Submission id reused",
                "not-run",
                "the id was used with other tasks before",
            )
            : toJobId(claim.holder);
    }
    catch (error) {
        void kernel.get(controlClientToken).release(key, id).catch(() => undefined);
        return newProblem(503, "no-quorum", "Submission cannot be claimed", "not-run", getErrorMessage(error), 1_000);
    }
};

const releaseSubmission = async (kernel: Kernel, caller: Caller, submission: Submission, id: JobId): Promise<void> => {
    if (submission.submissionId !== undefined) {
        const key = getSubmissionKey(caller, submission.submissionId);
        await kernel.get(controlClientToken).release(key, id).catch(() => undefined);
    }
};

const toJobProblem = (error: unknown): Problem => {
    const code = error instanceof JobError ? error.code : "internal";
    const message = getErrorMessage(error);
    switch (code) {
        case "never-runnable":
            return newProblem(422, code, "Job can never run", "not-run", message);
        case "not-settled":
            return newProblem(503, code, "Workers not known yet", "not-run", message, 1_000);
        default:
            return newProblem(500, "internal", "Internal error", "unknown", message);
    }
};

const getWaitMs = (request: Request): number => {
    const wait = Number(request.query["waitMs"] ?? 0);
    return wait >= 0 ? Math.min(wait, maximumWaitMs) : 0;
};

const serveExistingJob = async (
    kernel: Kernel,
    request: Request,
    response: Response,
    cancel: boolean,
): Promise<void> => {
    const caller = checkCaller(kernel, request);
    if ("status" in caller) {
        sendProblem(response, caller);
        return;
    }
    await serveJob(kernel, response, toJobId(String(request.params["id"])), caller.team, getWaitMs(request), cancel);
};

/** Serves a job held by this instance, or forwards the request to the instance named by the job id. */
const serveJob = async (
    kernel: Kernel,
    response: ServerResponse,
    id: JobId,
    team: string,
    waitMs: number,
    cancel: boolean,
): Promise<void> => {
    const instanceId = getInstanceOfJob(id);
    const jobs = kernel.get(jobsToken);
    try {
        const document = instanceId === kernel.get(settingsToken)["instance-id"]
            ? await (cancel ? jobs.cancel(id, team) : jobs.fetch(id, team, waitMs))
            : await requestFromHolder(kernel, instanceId ?? "", { jobId: id, team, waitMs, cancel });
        if (document) {
            sendDocument(response, document);
        }
        else {
            sendProblem(response, newNotFoundProblem(`job "${id}" is not known`));
        }
    }
    catch (error) {
        const detail = error instanceof JobError
            ? error.message
            : `the instance that holds job "${id}" does not answer: ${getErrorMessage(error)}`;
        sendProblem(response, newProblem(502, "outcome-unknown", "Outcome unknown", "unknown", detail, 1_000));
    }
};

const requestFromHolder = async (
    kernel: Kernel,
    instanceId: string,
    jobRequest: { readonly jobId: string; readonly team: string; readonly waitMs: number; readonly cancel: boolean; },
): Promise<JobDocument | undefined> => {
    const member = kernel.get(zoneViewToken).findMember(instanceId);
    if (!member) {
        return undefined;
    }
    const peer = kernel.get(networkToken).peer(toAddress(member.peerAddress));
    const reply = await peer.heldJob(jobRequest, { timeoutMs: jobRequest.waitMs + 2_000 });
    return reply.found ? JSON.parse(reply.document) as JobDocument : undefined;
};

const sendDocument = (response: ServerResponse, document: JobDocument): void => {
    response.setHeader("anvilmux-outcome", document.outcome);
    sendJson(response, document.state === "running" ? 202 : 200, document);
};
