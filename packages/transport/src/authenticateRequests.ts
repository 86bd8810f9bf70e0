/** Answers requests without a valid peer secret before their bodies are read, and passes the others on. */

import type { Http2ServerRequest, Http2ServerResponse } from "node:http2";
import { isKnownSecret, peerSecretHeader } from "./credentials";
import type { PeerSecrets } from "./credentials";

export type PeerRequestHandler = (request: Http2ServerRequest, response: Http2ServerResponse) => void;

export interface AuthenticationListener {
    readonly onAuthenticated: (request: Http2ServerRequest) => void;
    readonly onRejected: (request: Http2ServerRequest) => void;
}

const unauthenticatedStatus = 401;
/** The same in gRPC, which sends its status in headers of its own; also where the answer has no body. */
const unauthenticatedHeaders = {
    "content-type": "application/grpc",
    "grpc-status": "16",
    "grpc-message": "unknown peer",
};
const grpcPattern = /^application\/grpc\b/;

export const authenticateRequests =
    (secrets: PeerSecrets, listener: AuthenticationListener, handler: PeerRequestHandler): PeerRequestHandler =>
    (request, response) => {
        const secret = request.headers[peerSecretHeader];
        if (isKnownSecret(typeof secret === "string" ? secret : undefined, secrets)) {
            listener.onAuthenticated(request);
            handler(request, response);
            return;
        }
        response.on("error", () => undefined);
        if (grpcPattern.test(request.headers["content-type"] ?? "")) {
            response.writeHead(200, unauthenticatedHeaders);
        }
        else {
            response.writeHead(unauthenticatedStatus);
        }
        response.end();
        listener.onRejected(request);
    };
