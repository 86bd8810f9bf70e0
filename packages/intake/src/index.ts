/** Bounds what clients over HTTP can make a process hold: memory, connections, requests in progress and time. */
export * from "./AcceptedConnections";
export { untilInputRead } from "./attachedSockets";
export * from "./BodyHost";
export * from "./ConnectionGuard";
export * from "./Connections";
export * from "./Intake";
export * from "./JobMemory";
export * from "./limits";
export * from "./MemoryBudget";
export * from "./readBody";
export * from "./Refusals";
export * from "./responses";
