/** Micro-kernel: named services with start and stop in dependency order. */
export * from "./errors";
export * from "./Kernel";
export * from "./types";
