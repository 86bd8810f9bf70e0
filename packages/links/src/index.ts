/** Held connections between instances: JSON lines over TCP, with beats, a limit on silence and reconnection. */
export * from "./Channel";
export * from "./ChannelChecker";
export * from "./constants";
export * from "./Link";
export * from "./LinkServer";
export * from "./types";
