/** Durable control state: storage, consensus, manifests and claims. */
export * from "./collectVotes";
export * from "./ConfigurationHolder";
export * from "./constants";
export * from "./ControlClient";
export * from "./ControlService";
export * from "./ControlState";
export * from "./errors";
export * from "./findCandidates";
export * from "./group";
export * from "./groupRepair";
export * from "./Replica";
export * from "./ReplicaStorage";
export * from "./types";
export * from "./ZoneDrainRecords";
