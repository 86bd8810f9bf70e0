/** What an entry that dispatches jobs is given: its identity, limits and dependencies. */

import type { Address, InstanceId, ZoneId } from "@anvilmux/common";
import type { ConnectWorker, HoldMemory } from "@anvilmux/dispatch";
import type { ConnectionGuard } from "@anvilmux/intake";
import type { ManifestAuthority } from "@anvilmux/manifest";
import type { Logger, Metrics } from "@anvilmux/telemetry";
import type { Environment } from "../environment";

export interface DispatchEntryOptions {
    readonly instanceId: InstanceId;
    readonly zone: ZoneId;
    /** IP address under which other instances reach this one. */
    readonly host: string;
    /** IP address to listen on; `host` when absent. */
    readonly listenHost?: string;
    readonly linkPort: number;
    /** Processors that this process may use; absent where they are unknown. */
    readonly processorShare?: number | undefined;
    /** Link addresses of some control instances; they announce the others. */
    readonly controlSeeds: readonly Address[];
    readonly authority: ManifestAuthority;
    readonly connectWorker: ConnectWorker;
    /** Bounds the connections that other instances open; unlimited when absent. */
    readonly guard?: ConnectionGuard;
    /** Memory for jobs; unlimited when absent. */
    readonly holdMemory?: HoldMemory;
    readonly environment: Environment;
    readonly logger: Logger;
    readonly metrics: Metrics;
}
