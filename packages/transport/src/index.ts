/** Authenticated RPC between instances, with connect-es over HTTP/2. */
export * from "./credentials";
export * from "./errors";
export * from "./peerNetwork";
export * from "./PeerServer";
export * from "./types";
