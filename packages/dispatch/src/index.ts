/**
 * Dispatch of jobs that need not be stored: election of the owner of a zone's workers, scheduling and placement of
 * tasks, worker leases, and the jobs whose callers wait for an answer.
 */
export * from "./capacityOrder";
export * from "./constants";
export * from "./jobSize";
export * from "./leastRunTime";
export * from "./overloadPolicy";
export * from "./PendingJobs";
export * from "./QueueTable";
export * from "./RelayedWorkers";
export * from "./RunTable";
export * from "./TaskScheduler";
export * from "./types";
export * from "./workerCalls";
export * from "./workerChoice";
export * from "./WorkerRelay";
export * from "./WorkerSession";
export * from "./ZoneElection";
