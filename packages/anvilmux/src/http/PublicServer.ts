/** The HTTP server for callers, upstreams, workers and operators, with optional TLS and health endpoints. */

import { toAddress } from "@anvilmux/common";
import type { Address } from "@anvilmux/common";
import { newServiceToken } from "@anvilmux/kernel";
import type { Kernel } from "@anvilmux/kernel";
import express from "express";
import type { Express } from "express";
import { createServer } from "node:http";
import type { Server } from "node:http";
import { createServer as createSecureServer } from "node:https";
import type { Server as SecureServer } from "node:https";
import type { AddressInfo, Socket } from "node:net";
import { InstanceError } from "../errors";
import { readSettingFile } from "../services/base";
import { getIntakeLimits, getListenHost } from "../settings";
import type { Settings } from "../settings";
import { intakeToken, lifecycleToken, metricsToken } from "../tokens";
import { registerCallRoutes } from "./callRoutes";
import { registerJobRoutes } from "./jobRoutes";
import { registerOperatorRoutes } from "./operatorRoutes";
import { registerPlatformRoutes } from "./platformRoutes";
import { newInvalidRequestProblem, newNotFoundProblem, sendAnswer, sendJson, sendProblem } from "./problems";
import { registerZoneRoutes } from "./zoneRoutes";

const maximumHeaderCount = 100;
/** The largest limit that a manifest can set for a work kind; submissions and manifests are smaller. */
const maximumBodyBytes = 16_777_216;

export const publicServerToken = newServiceToken<PublicServer>("public-server");

export class PublicServer {
    private readonly sockets = new Set<Socket>();

    private constructor(private readonly server: Server | SecureServer, readonly address: Address) {
        server.on("connection", (socket: Socket) => {
            this.sockets.add(socket);
            socket.once("close", () => this.sockets.delete(socket));
        });
    }

    static async listen(kernel: Kernel, settings: Settings): Promise<PublicServer> {
        const server = newHttpServer(newApp(kernel), kernel, settings);
        server.maxHeadersCount = maximumHeaderCount;
        await new Promise<void>((resolve, reject) => {
            server.once("error", error =>
                reject(
                    new InstanceError(
                        "listen-failed",
                        `cannot listen for HTTP requests on ${getListenHost(settings)}:${settings["public-port"]}`,
                        error,
                    ),
                ));
            server.listen(settings["public-port"], getListenHost(settings), resolve);
        });
        const { port } = server.address() as AddressInfo;
        return new PublicServer(server, toAddress(`${settings.host}:${port}`));
    }

    /** Reads the certificate files again and uses them for new connections. */
    reloadTls(settings: Settings): void {
        if ("setSecureContext" in this.server) {
            this.server.setSecureContext(readCertificate(settings));
        }
    }

    async close(): Promise<void> {
        const closed = new Promise<void>(resolve => this.server.close(() => resolve()));
        this.server.closeIdleConnections();
        this.sockets.forEach(socket => socket.destroy());
        await closed;
    }
}

const readCertificate = (settings: Settings) => ({
    cert: readSettingFile(settings["tls-certificate"]),
    key: readSettingFile(settings["tls-key"]),
});

const newHttpServer = (app: Express, kernel: Kernel, settings: Settings): Server | SecureServer => {
    const limits = getIntakeLimits(settings);
    const intake = kernel.get(intakeToken);
    const isSecure = settings["tls-certificate"] !== "";
    const server = isSecure
        ? createSecureServer({
            ...intake.serverOptions,
            handshakeTimeout: limits.headersTimeoutMs,
            ...readCertificate(settings),
        })
        : createServer(intake.serverOptions);
    if (isSecure) {
        // The intake watches connections from the end of their TLS handshake on.
        server.maxConnections = limits.connections;
    }
    intake.guard(server, { maximumBodyBytes, isSecure }, app);
    return server;
};

/** All routes of the public interface. Services are resolved per request, so the kernel need not be started yet. */
export const newApp = (kernel: Kernel): Express => {
    const app = express();
    app.disable("x-powered-by");
    app.disable("etag");
    app.set("query parser", "simple");
    registerCallRoutes(app, kernel);
    registerJobRoutes(app, kernel);
    registerPlatformRoutes(app, kernel);
    registerOperatorRoutes(app, kernel);
    registerZoneRoutes(app, kernel);
    registerHealthRoutes(app, kernel);
    app.use((request, response) => sendProblem(response, newNotFoundProblem(`no route for ${request.method} request`)));
    app.use(
        ((error, _request, response, next) => {
            if (response.headersSent) {
                next(error);
                return;
            }
            sendProblem(response, newInvalidRequestProblem("the request cannot be read"));
        }) satisfies express.ErrorRequestHandler,
    );
    return app;
};

const registerHealthRoutes = (app: Express, kernel: Kernel): void => {
    app.get("/live", (_request, response) => sendJson(response, 200, { live: true }));
    app.get("/ready", (_request, response) => {
        const obstacle = kernel.find(lifecycleToken)?.getObstacle() ?? undefined;
        const isReady = kernel.find(lifecycleToken)?.isReady === true && obstacle === undefined;
        sendJson(response, isReady ? 200 : 503, { ready: isReady, ...(obstacle ? { reason: obstacle } : {}) });
    });
    app.get("/metrics", (_request, response) =>
        sendAnswer(response, {
            status: 200,
            headers: { "content-type": "text/plain; version=0.0.4" },
            body: Buffer.from(kernel.get(metricsToken).toPrometheusText()),
        }));
};
