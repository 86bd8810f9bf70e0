/** Bearer token authentication: callers by tokens in the manifest, the platform and operators by tokens in settings. */

import { findCaller } from "@anvilmux/control";
import type { Configuration } from "@anvilmux/control";
import type { Caller, WorkKind } from "@anvilmux/manifest";
import { isKnownSecret } from "@anvilmux/transport";
import type { IncomingMessage } from "node:http";

const bearerPattern = /^Bearer ([\w\-.~+/]{1,512}=*)$/i;

export const getBearerToken = (request: IncomingMessage): string | undefined =>
    bearerPattern.exec(request.headers.authorization ?? "")?.[1];

export const authenticateCaller = (request: IncomingMessage, configuration: Configuration): Caller | undefined => {
    const token = getBearerToken(request);
    return token === undefined ? undefined : findCaller(configuration, token);
};

/** True when the request carries the token `expected`; without an expected token, true only in development mode. */
export const hasToken = (request: IncomingMessage, expected: string, development: boolean): boolean =>
    expected === "" ? development : isKnownSecret(getBearerToken(request), [expected]);

export const mayCall = (caller: Caller, service: string, kind: WorkKind): boolean =>
    caller.services.some(permission =>
        permission.service === service && (permission.kinds === undefined || permission.kinds.includes(kind.name))
    );
