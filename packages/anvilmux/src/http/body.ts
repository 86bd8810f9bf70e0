/** Reads request bodies within the limits on clients, or gives the problem for which a request is refused. */

import { hasMoreValues, safeParseJson } from "@anvilmux/common";
import { BodyError, readBody } from "@anvilmux/intake";
import { newProblem, newRefusalProblem } from "@anvilmux/routing";
import type { Problem } from "@anvilmux/routing";
import type { IncomingMessage } from "node:http";
import { newTooLargeProblem } from "./problems";

const retryAfterMs = 1_000;

export const readContent = async (
    request: IncomingMessage,
    maximumBytes: number,
): Promise<{ readonly content: Buffer; } | Problem> => {
    try {
        return { content: await readBody(request, maximumBytes) };
    }
    catch (error) {
        switch (error instanceof BodyError ? error.code : undefined) {
            case "too-large":
                return newTooLargeProblem(maximumBytes);
            case "busy":
                return newRefusalProblem("queue-full", retryAfterMs);
            default:
                return newProblem(400, "cut-off", "Request cut off", "not-run", "the body ended early");
        }
    }
};

/**
 * Values of a body above which it is not parsed; the largest job has a tenth of it. A list of few bytes for each of its
 * values takes many times the memory of its text.
 */
const maximumValues = 20_000;

/** Parses a JSON body; undefined when it is malformed or has too many values. */
export const parseJsonBody = (body: Buffer): unknown => {
    const text = body.toString("utf8");
    return hasMoreValues(text, maximumValues) ? undefined : safeParseJson(text);
};
