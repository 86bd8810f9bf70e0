/** Service calls: `ANY /v1/services/{service}/{kind}/...`. */

import { getSha256, newSequentialId } from "@anvilmux/common";
import type { Configuration } from "@anvilmux/control";
import type { Kernel } from "@anvilmux/kernel";
import type { Caller, WorkKind } from "@anvilmux/manifest";
import { deadlineHeader, newRefusalProblem, toUpstreamHeaders } from "@anvilmux/routing";
import type { Problem } from "@anvilmux/routing";
import type { Express, Request } from "express";
import type { ServerResponse } from "node:http";
import { callsToken, clockToken, configurationToken, lifecycleToken, loggerToken, tracingToken } from "../tokens";
import { authenticateCaller, mayCall } from "./authentication";
import { readContent } from "./body";
import { isCallerPresent } from "./isCallerPresent";
import {
    newForbiddenProblem,
    newInvalidRequestProblem,
    newNotReadyProblem,
    newUnauthorizedProblem,
    sendAnswer,
    sendProblem,
} from "./problems";

const idempotencyKeyHeader = "idempotency-key";
const maximumKeyLength = 255;

/** A call that passed authentication, authorization and header checks. */
interface AllowedCall {
    readonly configuration: Configuration;
    readonly caller: Caller;
    readonly kind: WorkKind;
}

type CallRequest = Request<{ service: string; kind: string; }>;

export const registerCallRoutes = (app: Express, kernel: Kernel): void => {
    app.all(["/v1/services/:service/:kind", "/v1/services/:service/:kind/*rest"], (request, response) => {
        void serveCall(kernel, request as unknown as CallRequest, response);
    });
};

const serveCall = async (
    kernel: Kernel,
    request: CallRequest,
    response: ServerResponse,
): Promise<void> => {
    const requestId = newSequentialId();
    const startedAt = kernel.get(clockToken).now();
    const allowed = checkCall(kernel, request);
    if ("status" in allowed) {
        sendProblem(response, allowed, requestId);
        return;
    }
    const body = await readContent(request, allowed.kind.maximumRequestBytes);
    if ("status" in body) {
        sendProblem(response, body, requestId);
        return;
    }
    if (!await isCallerPresent(request)) {
        kernel.get(loggerToken).info("call not served, as its caller has left", { requestId });
        return;
    }
    const span = kernel.get(tracingToken).start("received", request.headers.traceparent as string | undefined, {
        "anvilmux.request": requestId,
        "anvilmux.service": request.params.service,
        "anvilmux.kind": allowed.kind.name,
    });
    const callerAbort = new AbortController();
    response.on("close", () => {
        if (!response.writableFinished) {
            callerAbort.abort();
        }
    });
    const answer = await kernel.get(callsToken).handle({
        requestId,
        service: request.params.service,
        kind: allowed.kind,
        caller: allowed.caller,
        method: request.method,
        path: getUpstreamPath(request.originalUrl),
        headers: toUpstreamHeaders(request.headers),
        body: body.content.length > 0 ? body.content : undefined,
        deadline: startedAt + getDeadlineMs(request, allowed.kind),
        idempotency: getIdempotency(request, allowed, body.content),
        span,
        signal: callerAbort.signal,
    });
    sendAnswer(response, answer);
    span.set({ "http.response.status_code": answer.status });
    span.end();
};

/** The caller, work kind and configuration of a request, or the problem for which it is refused. */
const checkCall = (kernel: Kernel, request: CallRequest): AllowedCall | Problem => {
    const configuration = kernel.get(configurationToken).configuration;
    if (!configuration) {
        return newNotReadyProblem("no configuration is in force at this instance yet");
    }
    const caller = authenticateCaller(request, configuration);
    if (!caller) {
        return newUnauthorizedProblem();
    }
    const { service, kind: kindName } = request.params;
    const kind = configuration.kinds.get(`${service}/${kindName}`);
    if (!kind || !mayCall(caller, service, kind)) {
        return newForbiddenProblem();
    }
    if (!kernel.get(lifecycleToken).isAdmitting) {
        return newRefusalProblem("shutting-down", 1_000);
    }
    return checkHeaders(request, kind) ?? { configuration, caller, kind };
};

const checkHeaders = (request: CallRequest, kind: WorkKind): Problem | undefined => {
    const key = request.headers[idempotencyKeyHeader];
    if (key === undefined && kind.keyRequired) {
        return newInvalidRequestProblem(`work kind "${kind.name}" needs an Idempotency-Key header`);
    }
    if (key !== undefined && (key === "" || key.length > maximumKeyLength)) {
        return newInvalidRequestProblem(`Idempotency-Key must have 1 to ${maximumKeyLength} characters`);
    }
    const deadline = request.headers[deadlineHeader];
    if (deadline !== undefined && !(Number(deadline) > 0)) {
        return newInvalidRequestProblem(`${deadlineHeader} "${String(deadline)}" is not a positive number`);
    }
    return undefined;
};

/** The deadline of the work kind, or the one that the caller requested if it is shorter. */
const getDeadlineMs = (request: CallRequest, kind: WorkKind): number => {
    const requestedMs = request.headers[deadlineHeader];
    return requestedMs === undefined ? kind.deadlineMs : Math.min(kind.deadlineMs, Number(requestedMs));
};

/** The path sent to the upstream: everything after the service name, including the query. */
const getUpstreamPath = (url: string): string => {
    const start = url.indexOf("/", "/v1/services/".length);
    return url.slice(start);
};

const getIdempotency = (request: CallRequest, allowed: AllowedCall, body: Buffer) => {
    const key = request.headers[idempotencyKeyHeader] as string | undefined;
    if (key === undefined) {
        return undefined;
    }
    const { caller, configuration } = allowed;
    return {
        key: `call/${caller.team}/${request.params.service}/${key}`,
        digest: getSha256(Buffer.concat([Buffer.from(`${request.method} ${request.originalUrl}\n`), body])),
        retention: configuration.manifest.claimRetentionMs,
    };
};
