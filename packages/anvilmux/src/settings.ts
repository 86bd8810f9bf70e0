/**
 * Settings of an instance, from flags and environment variables. Flags take precedence over the environment, which
 * takes precedence over defaults. All settings are validated before any service starts, and all faults are reported
 * together.
 */

import { toAddress, toInstanceId, toZoneId } from "@anvilmux/common";
import { getDefaultLimits, readProcessResources } from "@anvilmux/intake";
import type { IntakeLimits } from "@anvilmux/intake";
import { placementNames } from "@anvilmux/jobs";
import { strategyNames } from "@anvilmux/routing";
import * as z from "zod";
import { SettingsError } from "./errors";
import type { SettingFault } from "./errors";

const addressPattern = /^[\w.[\]:-]+:\d{1,5}$/;
const name = z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/, "use lower-case letters, digits and dashes, at most 63");
const port = z.coerce.number().int("use a whole number").min(0).max(65_535);
const list = z.string().transform(text => text.split(",").map(item => item.trim()).filter(item => item !== ""));
const addresses = list.refine(items => items.every(item => addressPattern.test(item)), "use HOST:PORT,HOST:PORT")
    .transform(items => items.map(toAddress));
const flag = z.enum(["true", "false", "1", "0", ""]).transform(text => text === "true" || text === "1" || text === "");
const natural = z.coerce.number().int("use a whole number").min(0).default(0);
const positive = z.coerce.number().int("use a whole number").min(1);
const keyFiles = list.refine(
    items => items.every(item => /^[\w.-]+=.+$/.test(item)),
    "use KEYID=FILE,KEYID=FILE",
);

/** Schema and description of one setting; the values of secret settings are never shown. */
interface SettingDefinition<Schema extends z.ZodType> {
    readonly schema: Schema;
    readonly description: string;
    readonly secret?: boolean;
}

const define = <Schema extends z.ZodType>(
    schema: Schema,
    description: string,
    secret = false,
): SettingDefinition<Schema> => ({ schema, description, secret });

export const settingDefinitions = {
    "instance-id": define(name.transform(toInstanceId), "Name of this instance, unique in the deployment."),
    "zone": define(name.transform(toZoneId), "Availability zone of this instance."),
    "host": define(z.string().min(1).default("127.0.0.1"), "IP address to announce, and to listen on."),
    "listen-host": define(
        z.string().default(""),
        "IP address to listen on, where others reach `host` through a forwarder; empty: `host`.",
    ),
    "public-port": define(port.default(7400), "Port for callers, upstreams, workers and operators; 0 picks one."),
    "peer-port": define(port.default(7401), "Port for other instances; 0 picks one."),
    "seeds": define(addresses.default([]), "Peer addresses of some other instances."),
    "data-folder": define(z.string().default(""), "Folder for durable state; makes this a control instance."),
    "control-peers": define(
        addresses.default([]),
        "Peer addresses of all control instances of a new deployment, this one included.",
    ),
    "form-group": define(flag.default(true), "Whether this instance may form a new control group with its peers."),
    "peer-secrets": define(list.default([]), "Secrets shared by all instances; the first is sent.", true),
    "platform-token": define(z.string().default(""), "Token of upstreams and workers.", true),
    "operator-token": define(z.string().default(""), "Token of operators' commands.", true),
    "trusted-keys": define(keyFiles.default([]), "Public keys that sign manifests, as KEYID=FILE."),
    "tls-certificate": define(z.string().default(""), "Certificate file of the public listener."),
    "tls-key": define(z.string().default(""), "Private key file of the public listener."),
    "peer-tls-certificate": define(z.string().default(""), "Certificate file for traffic between instances."),
    "peer-tls-key": define(z.string().default(""), "Private key file for traffic between instances."),
    "peer-tls-authority": define(z.string().default(""), "Authority certificate file for traffic between instances."),
    "development": define(flag.default(false), "Allows a start without credentials. Never use in production."),
    "log-level": define(z.enum(["debug", "info", "warn", "error"]).default("info"), "Least important log level."),
    "trace-file": define(z.string().default(""), "File that receives spans as JSON lines."),
    "otlp-url": define(z.string().default(""), "OTLP over HTTP endpoint that receives spans."),
    "trace-sample-ratio": define(z.coerce.number().min(0).max(1).default(0.05), "Share of requests traced, 0 to 1."),
    "slot-strategy": define(z.enum(strategyNames).default("steward"), "How entries share upstream slots."),
    "placement": define(z.enum(placementNames).default("free-processors"), "How tasks are placed on workers."),
    "readiness-lag-ms": define(
        z.coerce.number().min(0).max(600_000).default(5_000),
        "Time the balancer needs to notice that an instance is not ready.",
    ),
    "client-memory-bytes": define(
        natural,
        "Memory that all clients can make this process hold, in bytes; 0: a quarter of the heap limit, 16 to 128 MiB.",
    ),
    "client-address-share": define(
        z.coerce.number().min(0.01).max(1).default(0.75),
        "Share of client-memory-bytes that the clients of one address can occupy, 0.01 to 1.",
    ),
    "client-connections": define(
        natural,
        "Open connections of clients; 0: half of the descriptor limit, within half of client-memory-bytes.",
    ),
    "client-open-requests": define(positive.default(64), "Requests in progress on one connection."),
    "client-fragmented-bodies": define(positive.default(2), "Bodies in very small chunks that are read at a time."),
    "client-header-bytes": define(positive.default(16_384), "Size of a request's headers, in bytes."),
    "client-headers-timeout-ms": define(
        positive.default(20_000),
        "Time to the end of a request's headers, from the opening of a connection or the first byte of a later request.",
    ),
    "client-request-timeout-ms": define(positive.default(60_000), "The same to the end of the body."),
    "client-idle-timeout-ms": define(positive.default(65_000), "Time a connection stays open between requests."),
    "client-unread-timeout-ms": define(positive.default(30_000), "Time a client may leave responses unread."),
    "random-seed": define(z.coerce.number().int().default(0), "Seed of random choices; 0 takes one from the clock."),
} as const;

export type SettingName = keyof typeof settingDefinitions;

export type Settings = {
    readonly [Name in SettingName]: z.infer<(typeof settingDefinitions)[Name]["schema"]>;
};

/** The IP address that the instance listens on. */
export const getListenHost = (settings: Settings): string => settings["listen-host"] || settings.host;

/** The limits on clients, with those of the process where a setting leaves them to it. */
export const getIntakeLimits = (settings: Settings): IntakeLimits => {
    const limits = getDefaultLimits(readProcessResources(), settings["client-memory-bytes"] || undefined);
    return {
        ...limits,
        addressShare: settings["client-address-share"],
        connections: settings["client-connections"] || limits.connections,
        openRequests: settings["client-open-requests"],
        fragmentedBodies: settings["client-fragmented-bodies"],
        headerBytes: settings["client-header-bytes"],
        headersTimeoutMs: settings["client-headers-timeout-ms"],
        requestTimeoutMs: settings["client-request-timeout-ms"],
        idleTimeoutMs: settings["client-idle-timeout-ms"],
        unreadTimeoutMs: settings["client-unread-timeout-ms"],
    };
};

export type SettingSource = "flag" | "environment" | "default";

/** Validated settings and the source of each. */
export interface LoadedSettings {
    readonly settings: Settings;
    readonly sources: ReadonlyMap<SettingName, SettingSource>;
}

export const getSettingNames = (): readonly SettingName[] => Object.keys(settingDefinitions) as SettingName[];

/** Environment variable of a setting, such as `ANVILMUX_PEER_PORT`. */
export const getEnvironmentName = (setting: SettingName): string =>
    `ANVILMUX_${setting.replaceAll("-", "_").toUpperCase()}`;

type TextValues = Readonly<Record<string, string | undefined>>;

/** Reads and validates all settings. Throws a `SettingsError` that lists every fault. */
export const loadSettings = (flags: TextValues, environment: TextValues): LoadedSettings => {
    const sources = new Map<SettingName, SettingSource>();
    const values: Record<string, unknown> = {};
    const faults: SettingFault[] = [];
    for (const setting of getSettingNames()) {
        const fromEnvironment = environment[getEnvironmentName(setting)];
        const text = flags[setting] ?? fromEnvironment;
        const source = flags[setting] !== undefined
            ? "flag"
            : fromEnvironment !== undefined
            ? "environment"
            : "default";
        sources.set(setting, source);
        const result = settingDefinitions[setting].schema.safeParse(text);
        if (result.success) {
            values[setting] = result.data;
        }
        else {
            const shown = settingDefinitions[setting].secret ? "(hidden)" : text ?? "";
            const reason = text === undefined
                ? "must be given"
                : result.error.issues.map(issue => issue.message).join(", ");
            faults.push({ setting, value: shown, reason });
        }
    }
    const settings = values as Settings;
    faults.push(...(faults.length === 0 ? findInconsistencies(settings) : []));
    if (faults.length > 0) {
        throw new SettingsError(faults);
    }
    return { settings, sources };
};

/** Faults in combinations of settings that are valid one by one. */
const findInconsistencies = (settings: Settings): readonly SettingFault[] => {
    const faults: SettingFault[] = [];
    const check = (setting: SettingName, isValid: boolean, reason: string) => {
        if (!isValid) {
            faults.push({ setting, value: "", reason });
        }
    };
    const peerTls = ["peer-tls-certificate", "peer-tls-key", "peer-tls-authority"] as const;
    const givenPeerTls = peerTls.filter(setting => settings[setting] !== "").length;
    check(
        "tls-key",
        (settings["tls-key"] === "") === (settings["tls-certificate"] === ""),
        "must be set together with --tls-certificate",
    );
    check(
        "client-request-timeout-ms",
        settings["client-request-timeout-ms"] >= settings["client-headers-timeout-ms"],
        "must not be below --client-headers-timeout-ms",
    );
    check("peer-tls-certificate", givenPeerTls % 3 === 0, "certificate, key and authority must be set together");
    if (!settings.development) {
        const missing = "must be given unless --development is set";
        check("peer-secrets", settings["peer-secrets"].length > 0, missing);
        check("platform-token", settings["platform-token"] !== "", missing);
        check("operator-token", settings["operator-token"] !== "", missing);
    }
    return faults;
};

/** One line for each setting with its value and source; secrets are hidden. */
export const describeSettings = (loaded: LoadedSettings): readonly string[] =>
    getSettingNames().map(setting => {
        const value = loaded.settings[setting];
        const text = settingDefinitions[setting].secret
            ? "(hidden)"
            : Array.isArray(value)
            ? value.join(",")
            : String(value);
        return `${setting}=${text} (${loaded.sources.get(setting)})`;
    });
