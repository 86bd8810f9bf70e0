/** Dispatch of jobs that need not be stored: owners of workers, placement, leases, and callers that wait. */
export * from "./constants";
export * from "./JobDesk";
export * from "./Pool";
export * from "./QueueTable";
export * from "./RunTable";
export * from "./types";
export * from "./workerChoice";
export * from "./WorkerSession";
export * from "./ZoneElection";
