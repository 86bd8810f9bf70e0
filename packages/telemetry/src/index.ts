/** Logs, metrics, trace spans, and the decision log that `anvilmux explain` reads. */
export * from "./DecisionLog";
export * from "./explainLogs";
export * from "./LineWriter";
export * from "./logger";
export * from "./LoopDelayMonitor";
export * from "./Metrics";
export * from "./newTracing";
export * from "./Tracing";
