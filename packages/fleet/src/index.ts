/** Connections between entries and control instances: members of a zone, owners, workers and configurations. */
export * from "./ControlHub";
export * from "./ControlLinks";
export * from "./DepartedWorkers";
export * from "./DrainedZones";
export * from "./JobHandover";
export * from "./messages";
export * from "./OwnerLinks";
export * from "./WorkerCoverage";
export * from "./WorkerDirectory";
export * from "./workerNotices";
export * from "./WorkerPlaces";
export * from "./WorkerReplication";
export * from "./WorkerSharing";
export * from "./ZonePeer";
export * from "./ZonePeers";
export type { ZonePeersOptions } from "./zonePeersOptions";
export * from "./zoneStructure";
