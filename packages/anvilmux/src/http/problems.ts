/** Writes responses and problem documents, and creates the problems that several routes share. */

import { chargeResponse, closeUnlessRead, endResponse, isClosedAfterResponse } from "@anvilmux/intake";
import { newProblem, toProblemAnswer } from "@anvilmux/routing";
import type { CallAnswer, Problem } from "@anvilmux/routing";
import type { ServerResponse } from "node:http";

/** Sends an answer with `content-length`, or with chunked encoding when it has trailers. */
export const sendAnswer = (response: ServerResponse, answer: CallAnswer): void => {
    if (response.headersSent || response.destroyed) {
        return;
    }
    closeUnlessRead(response.req);
    const connection = isClosedAfterResponse(response) ? { connection: "close" } : {};
    const trailers = Object.entries(answer.trailers ?? {});
    if (trailers.length > 0) {
        if (!chargeResponse(response, answer.body.length)) {
            return;
        }
        const trailer = trailers.map(([name]) => name).join(", ");
        response.writeHead(answer.status, { ...answer.headers, ...connection, trailer });
        response.write(answer.body);
        response.addTrailers(trailers);
        response.end();
        return;
    }
    const hasBody = answer.status !== 204 && answer.status !== 304;
    const length = hasBody ? { "content-length": answer.body.length } : {};
    response.writeHead(answer.status, { ...answer.headers, ...length, ...connection });
    endResponse(response, hasBody ? answer.body : undefined);
};

export const sendProblem = (response: ServerResponse, problem: Problem, requestId = ""): void =>
    sendAnswer(response, toProblemAnswer(problem, requestId));

export const sendJson = (response: ServerResponse, status: number, document: unknown): void =>
    sendAnswer(response, {
        status,
        headers: { "content-type": "application/json" },
        body: Buffer.from(JSON.stringify(document)),
    });

export const newUnauthorizedProblem = (): Problem =>
    newProblem(401, "unauthorized", "Credentials missing or unknown", "not-run", "send a valid bearer token");

export const newForbiddenProblem = (): Problem =>
    newProblem(403, "forbidden", "Not allowed", "not-run", "the caller may not use this");

export const newInvalidRequestProblem = (detail: string): Problem =>
    newProblem(400, "invalid-request", "Request not valid", "not-run", detail);

export const newTooLargeProblem = (limit: number): Problem =>
    newProblem(413, "too-large", "Request too large", "not-run", `the body exceeds ${limit} bytes`);

export const newNotFoundProblem = (detail: string): Problem =>
    newProblem(404, "not-found", "Not found", "not-run", detail);

export const newNotReadyProblem = (detail: string): Problem =>
    newProblem(503, "not-ready", "Not ready", "not-run", detail, 1_000);
