/** Everything an instance needs from the world, replaceable as a whole in tests. */

import { newFolderFiles, newRandom, newSystemClock, newSystemTimers } from "@anvilmux/common";
import type { Clock, Files, Random, Timers } from "@anvilmux/common";
import type { ManifestAuthority } from "@anvilmux/manifest";

export interface Environment {
    readonly clock: Clock;
    readonly timers: Timers;
    readonly newRandom: (seed: number) => Random;
    /** Files of a data folder. */
    readonly openFolder: (folder: string) => Files;
    /** False for peer addresses that cannot be reached, to reproduce partitions. */
    readonly isReachable: (address: string) => boolean;
    /** Who may hand over manifests; undefined requires signatures by the trusted keys of the settings. */
    readonly authority?: ManifestAuthority;
}

export const newSystemEnvironment = (): Environment => ({
    clock: newSystemClock(),
    timers: newSystemTimers(),
    newRandom: seed => newRandom(seed === 0 ? Date.now() : seed),
    openFolder: newFolderFiles,
    isReachable: () => true,
});
