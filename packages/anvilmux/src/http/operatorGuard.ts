/** Admits requests that carry the operator token, and answers with 503 when their handler fails. */

import { getErrorMessage } from "@anvilmux/common";
import type { Kernel } from "@anvilmux/kernel";
import { newProblem } from "@anvilmux/routing";
import type { Request, RequestHandler, Response } from "express";
import { settingsToken } from "../tokens";
import { hasToken } from "./authentication";
import { newUnauthorizedProblem, sendProblem } from "./problems";

type Handler = (request: Request, response: Response) => Promise<void> | void;

export const newOperatorGuard = (kernel: Kernel) => (handler: Handler): RequestHandler => (request, response) => {
    const settings = kernel.get(settingsToken);
    if (!hasToken(request, settings["operator-token"], settings.development)) {
        sendProblem(response, newUnauthorizedProblem());
        return;
    }
    Promise.resolve(handler(request, response)).catch(error =>
        sendProblem(response, newProblem(503, "failed", "Request failed", "unknown", getErrorMessage(error)))
    );
};
