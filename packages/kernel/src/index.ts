/** Micro-kernel: named services that start in dependency order and stop in reverse. */
export * from "./errors";
export * from "./Kernel";
export * from "./types";
