/** Routes for operators: manifests, deployment status, explanations, control group membership and draining. */

import { getErrorMessage, toAddress } from "@anvilmux/common";
import type { Kernel } from "@anvilmux/kernel";
import { maximumEnvelopeBytes } from "@anvilmux/manifest";
import { GroupMemberSchema, MembershipChangeSchema } from "@anvilmux/protocol";
import type { CommandResult, MembershipChange } from "@anvilmux/protocol";
import { newProblem } from "@anvilmux/routing";
import { create } from "@bufbuild/protobuf";
import type { Express, Request, Response } from "express";
import * as z from "zod";
import { getStatus } from "../status";
import {
    configurationToken,
    controlClientToken,
    controlToken,
    decisionsToken,
    lifecycleToken,
    membershipToken,
    networkToken,
    settingsToken,
    upstreamsToken,
    workersToken,
} from "../tokens";
import { parseJsonBody, readContent } from "./body";
import { newOperatorGuard } from "./operatorGuard";
import { newInvalidRequestProblem, newNotFoundProblem, sendJson, sendProblem } from "./problems";

const explainTimeoutMs = 1_000;

const replicaChangeSchema = z.union([
    z.strictObject({ add: z.strictObject({ memberId: z.string().min(1), address: z.string().min(3) }) }),
    z.strictObject({ promote: z.string().min(1) }),
    z.strictObject({ remove: z.string().min(1) }),
]);

export const registerOperatorRoutes = (app: Express, kernel: Kernel): void => {
    const guard = newOperatorGuard(kernel);
    app.post("/v1/manifests", guard((request, response) => submitManifest(kernel, request, response)));
    app.get("/v1/manifests/current", guard((_request, response) => showManifest(kernel, response)));
    app.get("/v1/manifests/history", guard((_request, response) => showHistory(kernel, response)));
    app.get("/v1/status", guard(async (_request, response) => sendJson(response, 200, await getStatus(kernel))));
    app.get("/v1/explain/:id", guard((request, response) => explain(kernel, request, response)));
    app.get(
        "/v1/upstreams",
        guard((_request, response) => sendJson(response, 200, kernel.get(upstreamsToken).getLive())),
    );
    app.get("/v1/workers", guard((_request, response) => sendJson(response, 200, kernel.get(workersToken).getLive())));
    app.post("/v1/replicas", guard((request, response) => changeReplicas(kernel, request, response)));
    app.post(
        "/v1/drain",
        guard((_request, response) => {
            void kernel.get(lifecycleToken).drain();
            sendJson(response, 202, { draining: true });
        }),
    );
};

const submitManifest = async (
    kernel: Kernel,
    request: Request,
    response: Response,
): Promise<void> => {
    const body = await readContent(request, maximumEnvelopeBytes);
    if ("status" in body) {
        sendProblem(response, body);
        return;
    }
    await sendCommandResult(response, kernel.get(controlClientToken).submitManifest(body.content.toString("utf8")));
};

const statusByReason: Readonly<Record<string, number>> = {
    "invalid-manifest": 422,
    "dropped-service": 422,
    "conflicting-version": 409,
    "stale-version": 409,
};

/** Sends the result of a command. Without a majority the outcome is unknown: the command may still be committed. */
const sendCommandResult = async (response: Response, command: Promise<CommandResult>): Promise<void> => {
    try {
        const result = await command;
        if (result.accepted) {
            sendJson(response, 200, { accepted: true, index: Number(result.index) });
            return;
        }
        const status = statusByReason[result.reason] ?? 409;
        sendProblem(response, newProblem(status, result.reason, "Not accepted", "not-run", result.detail));
    }
    catch (error) {
        const problem = newProblem(503, "no-quorum", "No majority", "unknown", getErrorMessage(error), 1_000);
        sendProblem(response, problem);
    }
};

const showManifest = (kernel: Kernel, response: Response): void => {
    const configuration = kernel.get(configurationToken).configuration;
    if (!configuration) {
        sendProblem(response, newNotFoundProblem("no manifest is in force"));
        return;
    }
    const { index, digest, manifest } = configuration;
    sendJson(response, 200, { index, digest, manifest });
};

const showHistory = (kernel: Kernel, response: Response): void => {
    const control = kernel.find(controlToken);
    if (!control) {
        sendProblem(response, newNotFoundProblem("this instance keeps no history; ask a control instance"));
        return;
    }
    const entries = control.replica.state.getHistory().map(entry => ({
        index: Number(entry.index),
        version: Number(entry.version),
        digest: entry.digest,
    }));
    sendJson(response, 200, entries);
};

/** Collects the decisions that all live instances recorded about one request or job. */
const explain = async (kernel: Kernel, request: Request, response: Response): Promise<void> => {
    const id = String(request.params["id"]);
    const selfId = kernel.get(settingsToken)["instance-id"];
    const others = kernel.get(membershipToken).getMembers().filter(member =>
        member.id !== selfId && member.liveness === "alive"
    );
    const remote = await Promise.all(others.map(async member => {
        const peer = kernel.get(networkToken).peer(toAddress(member.peerAddress));
        const reply = await peer.explain({ id }, { timeoutMs: explainTimeoutMs }).catch(() => undefined);
        return { instance: member.id, lines: reply?.lines ?? [], reachable: reply !== undefined };
    }));
    const own = { instance: selfId, lines: kernel.get(decisionsToken).explain(id), reachable: true };
    const found = [own, ...remote].filter(item => item.lines.length > 0);
    const unreachable = remote.filter(item => !item.reachable).map(item => item.instance);
    if (found.length === 0) {
        const hint = unreachable.length > 0 ? `; not asked: ${unreachable.join(", ")}` : "";
        sendProblem(response, newNotFoundProblem(`nothing is recorded about "${id}"${hint}`));
        return;
    }
    sendJson(response, 200, { id, explanations: found, unreachable });
};

const changeReplicas = async (
    kernel: Kernel,
    request: Request,
    response: Response,
): Promise<void> => {
    const body = await readContent(request, maximumEnvelopeBytes);
    if ("status" in body) {
        sendProblem(response, body);
        return;
    }
    const parsed = replicaChangeSchema.safeParse(parseJsonBody(body.content));
    if (!parsed.success) {
        sendProblem(response, newInvalidRequestProblem("use add, promote or remove"));
        return;
    }
    await sendCommandResult(response, kernel.get(controlClientToken).changeGroup(toChange(parsed.data)));
};

const toChange = (change: z.infer<typeof replicaChangeSchema>): MembershipChange => {
    if ("add" in change) {
        return create(MembershipChangeSchema, { addLearner: create(GroupMemberSchema, change.add) });
    }
    return create(MembershipChangeSchema, change);
};
