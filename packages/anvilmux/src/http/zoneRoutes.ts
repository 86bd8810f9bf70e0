/**
 * Routes for operators that drain and restore zones. Any instance serves them with what the control leader confirms.
 */

import { getErrorMessage, toZoneId } from "@anvilmux/common";
import type { ZoneId } from "@anvilmux/common";
import type { Kernel } from "@anvilmux/kernel";
import type { ZoneDrainRecord } from "@anvilmux/protocol";
import { newProblem } from "@anvilmux/routing";
import type { Problem } from "@anvilmux/routing";
import type { Express, Request, Response } from "express";
import { controlClientToken, knownZonesToken, loggerToken, settingsToken, taskPoolToken } from "../tokens";
import { describeRequester, getZoneStatuses, maximumZoneCharacters } from "../zoneDrains";
import { readContent } from "./body";
import { isCallerPresent } from "./isCallerPresent";
import { newOperatorGuard } from "./operatorGuard";
import { newInvalidRequestProblem, newNotFoundProblem, newNotReadyProblem, sendJson, sendProblem } from "./problems";

const tooLargeStatus = 413;

export const registerZoneRoutes = (app: Express, kernel: Kernel): void => {
    const guard = newOperatorGuard(kernel);
    app.get("/v1/zones", guard((_request, response) => showZones(kernel, response)));
    app.all(
        "/v1/zones/:zone/drain",
        guard((request, response) => setZoneDrained(kernel, request, response, true)),
    );
    app.all(
        "/v1/zones/:zone/restore",
        guard((request, response) => setZoneDrained(kernel, request, response, false)),
    );
};

const showZones = async (kernel: Kernel, response: Response): Promise<void> => {
    const records = await readRecords(kernel);
    if ("status" in records) {
        sendProblem(response, records);
        return;
    }
    const { zone: ownZone } = kernel.get(settingsToken);
    const pool = kernel.find(taskPoolToken);
    // One entry owns all workers of its zone; the others do not know what runs there.
    const countRunningTasks = (zone: string) =>
        zone === ownZone && pool && pool.ownedWorkers.length > 0 ? pool.runningCount : undefined;
    sendJson(response, 200, getZoneStatuses(kernel.get(knownZonesToken).getAll(), records, countRunningTasks));
};

const setZoneDrained = async (
    kernel: Kernel,
    request: Request,
    response: Response,
    isDrained: boolean,
): Promise<void> => {
    if (request.method !== "POST") {
        response.setHeader("allow", "POST");
        sendProblem(response, newProblem(405, "method-not-allowed", "Method not allowed", "not-run", "use POST"));
        return;
    }
    const name = String(request.params["zone"]);
    if (name.length > maximumZoneCharacters) {
        sendProblem(response, newInvalidRequestProblem(`a zone name has at most ${maximumZoneCharacters} characters`));
        return;
    }
    const body = await readContent(request, 0);
    if ("status" in body) {
        sendProblem(
            response,
            body.status === tooLargeStatus ? newInvalidRequestProblem("the request takes no body") : body,
        );
        return;
    }
    const zone = toZoneId(name);
    const records = await readRecords(kernel);
    if ("status" in records) {
        sendProblem(response, records);
        return;
    }
    const problem = getZoneProblem(kernel, zone, records);
    if (problem) {
        sendProblem(response, problem);
        return;
    }
    // After the index was read: a caller that gave the request up may have sent the opposite one since.
    if (!await isCallerPresent(request)) {
        kernel.get(loggerToken).info("zone drain not requested, as its caller has left", { drainedZone: zone });
        return;
    }
    await propose(kernel, request, response, zone, isDrained, getOrderIndex(records, zone));
};

const propose = async (
    kernel: Kernel,
    request: Request,
    response: Response,
    zone: ZoneId,
    drained: boolean,
    knownIndex: bigint,
): Promise<void> => {
    const instanceId = kernel.get(settingsToken)["instance-id"];
    const requester = describeRequester(instanceId, request.socket.remoteAddress ?? "");
    kernel.get(loggerToken).info("zone drain requested", { drainedZone: zone, drained, requester });
    try {
        const client = kernel.get(controlClientToken);
        const result = await client.setZoneDrained(zone, drained, knownIndex, requester);
        if (result.accepted) {
            sendJson(response, 200, { zone, drained, index: Number(result.index) });
            return;
        }
        sendProblem(response, newProblem(503, result.reason, "Not accepted", "not-run", result.detail, 1_000));
    }
    catch (error) {
        sendProblem(response, newNoMajorityProblem(error));
    }
};

/** The zones that commands named, confirmed by a majority, or the problem for which they cannot be read. */
const readRecords = async (kernel: Kernel): Promise<readonly ZoneDrainRecord[] | Problem> => {
    try {
        return (await kernel.get(controlClientToken).readGroup()).zones;
    }
    catch (error) {
        return newNoMajorityProblem(error);
    }
};

const newNoMajorityProblem = (error: unknown): Problem =>
    newProblem(503, "no-quorum", "No majority", "unknown", getErrorMessage(error), 1_000);

const getOrderIndex = (records: readonly ZoneDrainRecord[], zone: ZoneId): bigint =>
    records.find(record => record.zone === zone)?.orderIndex ?? 0n;

/** The problem for which a request for a zone is refused; undefined for a zone that is known. */
const getZoneProblem = (kernel: Kernel, zone: ZoneId, records: readonly ZoneDrainRecord[]): Problem | undefined => {
    if (records.some(record => record.zone === zone)) {
        return undefined;
    }
    switch (kernel.get(knownZonesToken).getKnowledge(zone)) {
        case "known":
            return undefined;
        case "unknown":
            return newNotFoundProblem(`no instance and no worker of zone "${zone}" is known`);
        case "undecided":
            return newNotReadyProblem("this instance has not heard of all zones yet");
    }
};
