/** The external dependencies of an instance, such as time, randomness and files, which tests replace. */

import { newFolderFiles, newRandom, newSystemClock, newSystemTimers } from "@anvilmux/common";
import type { Clock, Files, Random, Timers } from "@anvilmux/common";
import type { IntakeLimits } from "@anvilmux/intake";
import type { ManifestAuthority } from "@anvilmux/manifest";

export interface Environment {
    readonly clock: Clock;
    readonly timers: Timers;
    readonly newRandom: (seed: number) => Random;
    /** Opens the files of a data folder. */
    readonly openFolder: (folder: string) => Files;
    /** False for peer addresses that count as unreachable; tests and benches simulate partitions with it. */
    readonly isReachable: (address: string) => boolean;
    /** Verifies manifests; without it they must be signed by one of the trusted keys of the settings. */
    readonly authority?: ManifestAuthority;
    /** Limits on clients; as in the settings when absent. */
    readonly intakeLimits?: IntakeLimits;
}

export const newSystemEnvironment = (): Environment => ({
    clock: newSystemClock(),
    timers: newSystemTimers(),
    newRandom: seed => newRandom(seed === 0 ? Date.now() : seed),
    openFolder: newFolderFiles,
    isReachable: () => true,
});
