/** Persistent connections between instances: JSON lines over TCP with heartbeats, timeouts and reconnection. */
export * from "./Channel";
export * from "./ChannelChecker";
export * from "./constants";
export * from "./encodeMessage";
export * from "./Link";
export * from "./LinkServer";
export * from "./toLinkConnection";
export * from "./types";
