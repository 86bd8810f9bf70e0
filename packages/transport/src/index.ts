/** Authenticated connect-es traffic between instances. */
export * from "./credentials";
export * from "./errors";
export * from "./peerNetwork";
export * from "./PeerServer";
export * from "./types";
