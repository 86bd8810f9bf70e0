/** Stand-ins for what anvilmux serves: upstreams, workers and their announcements. */
export * from "./Announcer";
export * from "./LeasedWorker";
export * from "./LoadGenerator";
export * from "./loopback";
export * from "./StandInUpstream";
export * from "./StandInWorker";
