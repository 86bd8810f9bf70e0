/** Logs, metrics, spans and the decisions behind `explain`. */
export * from "./DecisionLog";
export * from "./explainLogs";
export * from "./LineWriter";
export * from "./logger";
export * from "./Metrics";
export * from "./newTracing";
export * from "./Tracing";
