/** Routes by which upstreams and workers acquire, renew and end their leases. */

import type { Kernel } from "@anvilmux/kernel";
import { toFaults } from "@anvilmux/manifest";
import { upstreamAnnouncementSchema, workerAnnouncementSchema } from "@anvilmux/membership";
import type { Announced, LeaseRegistry } from "@anvilmux/membership";
import { newProblem } from "@anvilmux/routing";
import type { Express, Request, Response } from "express";
import type { z } from "zod";
import { settingsToken, upstreamsToken, workersToken } from "../tokens";
import { hasToken } from "./authentication";
import { parseJsonBody, readContent } from "./body";
import { newInvalidRequestProblem, newUnauthorizedProblem, sendJson, sendProblem } from "./problems";

const maximumAnnouncementBytes = 16_384;

export const registerPlatformRoutes = (app: Express, kernel: Kernel): void => {
    registerLeaseRoutes(app, kernel, "/v1/upstreams", upstreamAnnouncementSchema, () => kernel.get(upstreamsToken));
    registerLeaseRoutes(app, kernel, "/v1/workers", workerAnnouncementSchema, () => kernel.get(workersToken));
};

/** `POST path` acquires or renews a lease, `POST path/leave` ends it; both carry the complete announcement. */
const registerLeaseRoutes = <Announcement extends Announced>(
    app: Express,
    kernel: Kernel,
    path: string,
    schema: z.ZodType<Announcement>,
    getRegistry: () => LeaseRegistry<Announcement>,
): void => {
    app.post(path, (request, response) => {
        void readAnnouncement(kernel, schema, request, response).then(announcement => {
            if (announcement && getRegistry().announce(announcement)) {
                sendJson(response, 200, { leaseMs: announcement.leaseMs });
            }
            else if (announcement) {
                const detail =
                    `incarnation ${announcement.incarnation} of "${announcement.id}" has left or was replaced`;
                sendProblem(response, newProblem(409, "old-incarnation", "Incarnation is over", "not-run", detail));
            }
        });
    });
    app.post(`${path}/leave`, (request, response) => {
        void readAnnouncement(kernel, schema, request, response).then(announcement => {
            if (announcement) {
                getRegistry().leave(announcement);
                sendJson(response, 200, { left: true });
            }
        });
    });
};

/** Returns the announcement, or undefined after a problem was sent. */
const readAnnouncement = async <Announcement>(
    kernel: Kernel,
    schema: z.ZodType<Announcement>,
    request: Request,
    response: Response,
): Promise<Announcement | undefined> => {
    const settings = kernel.get(settingsToken);
    if (!hasToken(request, settings["platform-token"], settings.development)) {
        sendProblem(response, newUnauthorizedProblem());
        return undefined;
    }
    const body = await readContent(request, maximumAnnouncementBytes);
    if ("status" in body) {
        sendProblem(response, body);
        return undefined;
    }
    const parsed = schema.safeParse(parseJsonBody(body.content));
    if (parsed.success) {
        return parsed.data;
    }
    const faults = toFaults(parsed.error).map(fault => `${fault.pointer || "/"}: ${fault.reason}`);
    sendProblem(response, newInvalidRequestProblem(faults.join("; ")));
    return undefined;
};
