/** Messages and services exchanged between instances, generated from `proto/anvilmux/v1/peer.proto`. */
export * from "./generated/anvilmux/v1/peer_pb";
