/** Ids, time, randomness, hashing, files and errors used by every package. */
export * from "./Clock";
export * from "./Deferred";
export * from "./digest";
export * from "./errors";
export * from "./Files";
export * from "./ids";
export * from "./MemoryFiles";
export * from "./Mutex";
export * from "./Random";
export * from "./rendezvous";
export * from "./safeParseJson";
export * from "./Signal";
export * from "./Timers";
export * from "./types";
export * from "./uniqueId";
export * from "./untilNextPoll";
export * from "./VirtualTime";
