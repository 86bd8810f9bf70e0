/** `anvilmux serve`: runs one instance until it has drained. */

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
    handleSignals(instance);
};

/** Loads all settings; lists every fault and exits when some are invalid. */
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
        process.stderr.write(`invalid settings:\n${error.message}\n`);
        process.exit(exitCodes.usage);
    }
};

/** The first SIGTERM or SIGINT drains the instance, the second exits immediately; SIGHUP reloads certificates. */
const handleSignals = (instance: Instance): void => {
    const lifecycle = instance.kernel.get(lifecycleToken);
    let isDraining = false;
    const handleTerminationSignal = () => {
        if (isDraining) {
            instance.kernel.find(loggerToken)?.warn("second termination signal received; exiting immediately");
            process.exit(exitCodes.interrupted);
        }
        isDraining = true;
        void lifecycle.drain();
    };
    void lifecycle.whenDrained.then(() => instance.stop()).then(() => process.exit(exitCodes.success));
    process.on("SIGTERM", handleTerminationSignal);
    process.on("SIGINT", handleTerminationSignal);
    process.on("SIGHUP", () => instance.reloadTls());
};
