/** Errors of settings and of the start of an instance. */

import { AnvilmuxError } from "@anvilmux/common";

/** An invalid or missing setting. */
export interface SettingFault {
    readonly setting: string;
    readonly value: string;
    readonly reason: string;
}

export class SettingsError extends AnvilmuxError {
    readonly faults: readonly SettingFault[];

    constructor(faults: readonly SettingFault[]) {
        const lines = faults.map(fault => `--${fault.setting} "${fault.value}": ${fault.reason}`);
        super("invalid-settings", lines.join("\n"));
        this.faults = faults;
    }
}

export class InstanceError extends AnvilmuxError {}
