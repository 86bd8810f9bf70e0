/** Stand-ins for the systems around anvilmux: upstreams, workers and their announcements. */
export * from "./Announcer";
export * from "./LeasedWorker";
export * from "./LoadGenerator";
export * from "./loopback";
export * from "./StandInUpstream";
export * from "./StandInWorker";
