/** Service tokens: the names and types under which the kernel of an instance provides its services. */

import type { Clock, Random, Timers, Unsubscribe } from "@anvilmux/common";
import type { ConfigurationHolder, ControlClient, ControlService } from "@anvilmux/control";
import type { Intake } from "@anvilmux/intake";
import type { JobManager, TaskPool } from "@anvilmux/jobs";
import { newServiceToken } from "@anvilmux/kernel";
import type { ManifestAuthority } from "@anvilmux/manifest";
import type { LeaseRegistry, Membership, UpstreamAnnouncement, WorkerAnnouncement } from "@anvilmux/membership";
import type { CallHandler } from "@anvilmux/routing";
import type { DecisionLog, Logger, Metrics, Tracing } from "@anvilmux/telemetry";
import type { PeerNetwork, PeerServer } from "@anvilmux/transport";
import type { KnownZones } from "./KnownZones";
import type { Lifecycle } from "./Lifecycle";
import type { Settings } from "./settings";
import type { SlotDirectory } from "./SlotDirectory";
import type { ZoneView } from "./ZoneView";

export const settingsToken = newServiceToken<Settings>("settings");
export const clockToken = newServiceToken<Clock>("clock");
export const timersToken = newServiceToken<Timers>("timers");
export const randomToken = newServiceToken<Random>("random");
export const loggerToken = newServiceToken<Logger>("logger");
/** Bounds what clients and unknown instances make the process hold. */
export const intakeToken = newServiceToken<Intake>("intake");
export const metricsToken = newServiceToken<Metrics>("metrics");
export const tracingToken = newServiceToken<Tracing>("tracing");
export const decisionsToken = newServiceToken<DecisionLog>("decisions");
export const authorityToken = newServiceToken<ManifestAuthority>("manifest-authority");
export const networkToken = newServiceToken<PeerNetwork>("network");
export const peerServerToken = newServiceToken<PeerServer>("peer-server");
export const membershipToken = newServiceToken<Membership>("membership");
export const upstreamsToken = newServiceToken<LeaseRegistry<UpstreamAnnouncement>>("upstreams");
export const workersToken = newServiceToken<LeaseRegistry<WorkerAnnouncement>>("workers");
export const zoneViewToken = newServiceToken<ZoneView>("zone-view");
export const knownZonesToken = newServiceToken<KnownZones>("known-zones");
export const controlToken = newServiceToken<ControlService>("control");
export const controlClientToken = newServiceToken<ControlClient>("control-client");
export const configurationToken = newServiceToken<ConfigurationHolder>("configuration");
export const slotsToken = newServiceToken<SlotDirectory>("slots");
export const callsToken = newServiceToken<CallHandler>("calls");
export const taskPoolToken = newServiceToken<TaskPool>("task-pool");
export const ownershipToken = newServiceToken<Unsubscribe>("ownership");
export const loadReportToken = newServiceToken<Unsubscribe>("load-report");
export const jobsToken = newServiceToken<JobManager>("jobs");
export const lifecycleToken = newServiceToken<Lifecycle>("lifecycle");
