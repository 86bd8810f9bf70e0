/** `anvilmux serve`: one instance, until it is told to leave. */

import {
    describeSettings,
    getEnvironmentName,
    getSettingNames,
    Instance,
    lifecycleToken,
    loadSettings,
    loggerToken,
    settingDefinitions,
    SettingsError,
} from "@anvilmux/anvilmux";
import type { LoadedSettings } from "@anvilmux/anvilmux";
import { newSystemTimers } from "@anvilmux/common";
import { newStandardOutputWriter, setLogDestination } from "@anvilmux/telemetry";
import type { Sade } from "sade";
import { exitCodes } from "../exitCodes";

type Flags = Readonly<Record<string, string | number | boolean | undefined>>;

export const registerServe = (program: Sade): void => {
    const command = program.command("serve")
        .describe("Run one instance; settings come from flags and environment variables")
        .option("--print-settings", "Print the settings in force and where each came from, then exit");
    for (const setting of getSettingNames()) {
        command.option(`--${setting}`, `${settingDefinitions[setting].description} [${getEnvironmentName(setting)}]`);
    }
    command.action(serve);
};

const serve = async (flags: Flags): Promise<void> => {
    const loaded = readSettings(flags);
    if (flags["print-settings"]) {
        process.stdout.write(describeSettings(loaded).join("\n") + "\n");
        return;
    }
    const writer = newStandardOutputWriter(newSystemTimers());
    setLogDestination(line => writer.write(line));
    const instance = new Instance(loaded.settings);
    await instance.start();
    listenToSignals(instance);
};

/** Checks all settings; exits with every fault named when some cannot be used. */
const readSettings = (flags: Flags): LoadedSettings => {
    const texts = Object.fromEntries(
        Object.entries(flags).filter(([, value]) => value !== undefined).map(([key, value]) => [key, String(value)]),
    );
    try {
        return loadSettings(texts, process.env);
    }
    catch (error) {
        if (!(error instanceof SettingsError)) {
            throw error;
        }
        process.stderr.write(`settings cannot be used:\n${error.message}\n`);
        process.exit(exitCodes.usage);
    }
};

/** The first SIGTERM or SIGINT leaves gracefully, the second stops at once; SIGHUP reads certificates again. */
const listenToSignals = (instance: Instance): void => {
    const lifecycle = instance.kernel.get(lifecycleToken);
    let leaving = false;
    const leave = () => {
        if (leaving) {
            instance.kernel.find(loggerToken)?.warn("second signal: stopping at once");
            process.exit(exitCodes.interrupted);
        }
        leaving = true;
        void lifecycle.drain();
    };
    void lifecycle.whenDrained.then(() => instance.stop()).then(() => process.exit(exitCodes.success));
    process.on("SIGTERM", leave);
    process.on("SIGINT", leave);
    process.on("SIGHUP", () => instance.reloadTls());
};
