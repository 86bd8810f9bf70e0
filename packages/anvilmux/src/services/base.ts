/** Services that depend on no other instance: settings, time, randomness, logs, metrics, tracing and manifest keys. */

import { Intake } from "@anvilmux/intake";
import type { Kernel } from "@anvilmux/kernel";
import { newSignedAuthority } from "@anvilmux/manifest";
import { DecisionLog, Metrics, newLogger, newTracing } from "@anvilmux/telemetry";
import { readFileSync } from "node:fs";
import type { Environment } from "../environment";
import { InstanceError } from "../errors";
import { getIntakeLimits } from "../settings";
import type { Settings } from "../settings";
import {
    authorityToken,
    clockToken,
    decisionsToken,
    intakeToken,
    loggerToken,
    metricsToken,
    randomToken,
    settingsToken,
    timersToken,
    tracingToken,
} from "../tokens";

/** Reads a file named by a setting. Throws an `InstanceError` when it cannot be read. */
export const readSettingFile = (path: string): string => {
    try {
        return readFileSync(path, "utf8");
    }
    catch (error) {
        throw new InstanceError("unreadable-file", `file "${path}" cannot be read`, error);
    }
};

/** Reads the files of public keys, given as `KEYID=FILE`. */
export const readTrustedKeys = (entries: readonly string[]): ReadonlyMap<string, string> =>
    new Map(entries.map(entry => {
        const separator = entry.indexOf("=");
        return [entry.slice(0, separator), readSettingFile(entry.slice(separator + 1))];
    }));

export const defineBaseServices = (kernel: Kernel, settings: Settings, environment: Environment): void => {
    kernel
        .define({ token: settingsToken, start: () => settings })
        .define({ token: clockToken, start: () => environment.clock })
        .define({ token: timersToken, start: () => environment.timers })
        .define({ token: randomToken, start: () => environment.newRandom(settings["random-seed"]) })
        .define({
            token: loggerToken,
            start: () => newLogger(settings["log-level"], { instance: settings["instance-id"], zone: settings.zone }),
        })
        .define({ token: metricsToken, start: () => new Metrics() })
        .define({
            token: intakeToken,
            requires: [clockToken, timersToken, loggerToken, metricsToken],
            start: () =>
                new Intake({
                    limits: environment.intakeLimits ?? getIntakeLimits(settings),
                    clock: environment.clock,
                    timers: environment.timers,
                    logger: kernel.get(loggerToken),
                    metrics: kernel.get(metricsToken),
                }),
        })
        .define({ token: decisionsToken, start: () => new DecisionLog(environment.clock) })
        .define({
            token: authorityToken,
            start: () => environment.authority ?? newSignedAuthority(readTrustedKeys(settings["trusted-keys"])),
        })
        .define({
            token: tracingToken,
            start: () =>
                newTracing({
                    instanceId: settings["instance-id"],
                    zone: settings.zone,
                    sampleRatio: settings["trace-sample-ratio"],
                    otlpUrl: settings["otlp-url"] || undefined,
                    file: settings["trace-file"] || undefined,
                }),
            stop: tracing => tracing.shutdown(),
        });
};
